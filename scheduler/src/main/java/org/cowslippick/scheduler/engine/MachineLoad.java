package org.cowslippick.scheduler.engine;

import java.time.Duration;

/**
 * How much longer than usual work takes on an engine's machine, as the engine said last. The load changes many times a
 * second, so a report loses half of its weight in each half-life.
 */
final class MachineLoad {

    private static final long HALF_LIFE_NANOS = Duration.ofMillis(200).toNanos();

    /** After this number of half-lives the weight is below 1%. */
    private static final int MAXIMUM_HALVINGS = 7;

    private static final double USUAL_PERCENT = 100;

    private double reportedFactor = 1;
    private long reportedAtNanos;

    /** Records a report unless a newer one is known. */
    void record(double percent, long asOfNanos) {
        if (reportedFactor == 1 || asOfNanos - reportedAtNanos >= 0) {
            reportedFactor = percent / USUAL_PERCENT;
            reportedAtNanos = asOfNanos;
        }
    }

    /** The factor by which work takes longer than usual; 1 without a recent report. */
    double factor(long nowNanos) {
        return reportedFactor == 1 ? 1 : 1 + (reportedFactor - 1) * weight(Math.max(0, nowNanos - reportedAtNanos));
    }

    void forget() {
        reportedFactor = 1;
    }

    /** Halves the weight exactly at each half-life and is linear in between, as it is computed for each decision. */
    private static double weight(long ageNanos) {
        long halvings = ageNanos / HALF_LIFE_NANOS;
        if (halvings >= MAXIMUM_HALVINGS) {
            return 0;
        }
        double part = (double) (ageNanos % HALF_LIFE_NANOS) / HALF_LIFE_NANOS;
        return (1 - part / 2) / (1L << halvings);
    }
}
