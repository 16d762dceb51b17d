package org.cowslippick.scheduler.engine;

/**
 * An owner's estimate of the speed of an engine while its machine is as loaded as usual. A time of 0 is unknown.
 *
 * @param nanosPerPromptToken the time to the first token for each prompt token that is processed before it
 * @param nanosPerAnswerToken the time between two tokens of an answer
 * @param callNanos the time to the response of an application call
 */
public record SpeedEstimate(double nanosPerPromptToken, double nanosPerAnswerToken, double callNanos) {

    public static final SpeedEstimate UNKNOWN = new SpeedEstimate(0, 0, 0);

    /** Replaces times that are no positive numbers by 0, as estimates come from other instances. */
    public SpeedEstimate {
        nanosPerPromptToken = knownOrZero(nanosPerPromptToken);
        nanosPerAnswerToken = knownOrZero(nanosPerAnswerToken);
        callNanos = knownOrZero(callNanos);
    }

    private static double knownOrZero(double nanos) {
        return Double.isFinite(nanos) && nanos > 0 ? nanos : 0;
    }
}
