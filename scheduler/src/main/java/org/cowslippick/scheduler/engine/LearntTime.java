package org.cowslippick.scheduler.engine;

/** A duration that is learnt from observations. The first ones count more, so that it converges quickly. */
final class LearntTime {

    private static final double MINIMUM_GAIN = 0.2;

    /** The weight of another owner's estimate, of which the number of observations is unknown. */
    private static final int INHERITED_OBSERVATIONS = 2;

    private double nanos;
    private int observations;

    boolean isKnown() {
        return observations > 0;
    }

    /** Whether the value rests on observations of this owner, and not on an inherited estimate alone. */
    boolean isObserved() {
        return observations > INHERITED_OBSERVATIONS;
    }

    double orElse(double unknown) {
        return isKnown() ? nanos : unknown;
    }

    void observe(double observedNanos) {
        observations++;
        nanos += Math.max(MINIMUM_GAIN, 1.0 / observations) * (observedNanos - nanos);
    }

    /** Takes over an estimate; 0 stands for an unknown one and changes nothing. */
    void inherit(double estimatedNanos) {
        if (estimatedNanos > 0) {
            nanos = estimatedNanos;
            observations = INHERITED_OBSERVATIONS;
        }
    }

    /** Keeps the value with the weight of one observation, for an engine that has started again. */
    void distrust() {
        observations = Math.min(observations, 1);
    }

    void forget() {
        observations = 0;
    }
}
