package org.cowslippick.standin.bench;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

/**
 * What a bench prints.
 *
 * @param seconds how long each policy was loaded
 * @param requests the requests of one run
 * @param rows the measures that have targets
 * @param slopes the costs that the bench of slopes fitted
 * @param diagnostics what shows whether the run can be trusted, and why a target was missed
 */
record BenchReport(
        String bench,
        long seed,
        double seconds,
        int requests,
        ImmutableList<Row> rows,
        ImmutableList<TierRow> tiers,
        ImmutableList<Diagnostic> diagnostics,
        ImmutableList<Slope> slopes) {

    static final int FEWEST_REQUESTS = 1000;

    /** Whether enough was offered for the figures to mean something. */
    boolean sufficient() {
        return requests >= FEWEST_REQUESTS;
    }

    /**
     * One measure of both policies.
     *
     * @param ratio cowslippick's value over the naive one's; absent where that is not a finite number
     * @param target the bound, with what it applies to where that is not cowslippick's own value
     */
    @JsonInclude(JsonInclude.Include.ALWAYS)
    record Row(
            String measure, String unit, double cowslippick, Double naive, Double ratio, String target, boolean met) {

        /** A row of something that the naive version does not have. */
        static Row alone(String measure, String unit, double cowslippick, Target target) {
            return new Row(measure, unit, cowslippick, null, null, target.text(), target.met(cowslippick, 0));
        }

        static Row of(String measure, String unit, double cowslippick, double naive, Target target) {
            double ratio = cowslippick / naive;
            return new Row(
                    measure,
                    unit,
                    cowslippick,
                    naive,
                    Double.isFinite(ratio) ? ratio : null,
                    target.text(),
                    target.met(cowslippick, naive));
        }
    }

    /** What became of the requests of one tier under one policy. */
    record TierRow(
            String policy,
            String tier,
            long offered,
            long onTime,
            long late,
            ImmutableSortedMap<String, Long> refused) {}

    /** A figure without a target. */
    record Diagnostic(String name, String unit, double cowslippick, double naive) {}
}
