package org.cowslippick.standin.bench;

/** How the arrival rate changes in the course of a trace, as a factor of the rate at its start. */
enum LoadCurve {
    CONSTANT {
        @Override
        double factor(double _second) {
            return 1;
        }
    },
    /** Rises to four times within two seconds, stays there for four, and falls again. */
    SWING {
        @Override
        double factor(double second) {
            double rise = (second - SWING_START_SECOND) / SWING_RAMP_SECONDS;
            double fall = (SWING_END_SECOND - second) / SWING_RAMP_SECONDS;
            double share = Math.max(0, Math.min(1, Math.min(rise, fall)));
            return 1 + share * (SWING_FACTOR - 1);
        }
    };

    static final double SWING_FACTOR = 4;
    static final double SWING_START_SECOND = 4;
    static final double SWING_END_SECOND = 12;
    static final double SWING_RAMP_SECONDS = 2;

    abstract double factor(double second);

    /** Whether the rate is above that of the start. */
    boolean raised(double second) {
        return factor(second) > 1;
    }
}
