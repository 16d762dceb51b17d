package org.cowslippick.standin.bench;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

/**
 * The report of a bench, also in its JSON form.
 *
 * @param seconds how long each policy was loaded
 * @param requests number of requests of one run
 * @param rows measures with targets
 * @param slopes costs fitted by the slopes bench
 * @param diagnostics figures that show whether the run is valid and why a target was missed
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

    static final int MINIMUM_REQUESTS = 1000;

    /** Returns whether enough requests were offered for the figures to be valid. */
    boolean hasEnoughRequests() {
        return requests >= MINIMUM_REQUESTS;
    }

    /**
     * A measure under both policies.
     *
     * @param ratio value of cowslippick over the naive value; null if not finite
     * @param target the bound as text, which starts with "ratio" if the bound applies to the ratio and not to the value
     *     of cowslippick
     */
    @JsonInclude(JsonInclude.Include.ALWAYS)
    record Row(
            String measure, String unit, double cowslippick, Double naive, Double ratio, String target, boolean met) {

        /** Returns a row for a measure that the naive policy does not have. */
        static Row withoutNaive(String measure, String unit, double cowslippick, Target target) {
            return new Row(measure, unit, cowslippick, null, null, target.text(), target.isMet(cowslippick, 0));
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
                    target.isMet(cowslippick, naive));
        }
    }

    /** The results of the requests of one tier under one policy. */
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
