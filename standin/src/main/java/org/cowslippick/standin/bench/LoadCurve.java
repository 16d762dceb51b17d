package org.cowslippick.standin.bench;

/** The arrival rate in the course of a trace, as a factor of its initial rate. */
enum LoadCurve {
    CONSTANT {
        @Override
        double factor(double _second) {
            return 1;
        }
    },
    /** Rises to four times the initial rate within two seconds, stays there for four seconds and falls again. */
    SURGE {
        @Override
        double factor(double second) {
            double rise = (second - SURGE_START_SECOND) / SURGE_RAMP_SECONDS;
            double fall = (SURGE_END_SECOND - second) / SURGE_RAMP_SECONDS;
            double surgeShare = Math.max(0, Math.min(1, Math.min(rise, fall)));
            return 1 + surgeShare * (SURGE_FACTOR - 1);
        }
    };

    static final double SURGE_FACTOR = 4;
    static final double SURGE_START_SECOND = 4;
    static final double SURGE_END_SECOND = 12;
    static final double SURGE_RAMP_SECONDS = 2;

    abstract double factor(double second);

    /** Returns whether the rate is above the initial rate. */
    boolean isAboveInitial(double second) {
        return factor(second) > 1;
    }
}
