package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * What a trace looks like.
 *
 * @param requestsPerSecond the arrival rate at its start
 * @param organisationShares the share of each organisation in the requests; they sum to 1
 * @param givingUp whether callers leave when the first token does not come
 */
record TraceShape(
        double requestsPerSecond,
        Duration length,
        LoadCurve curve,
        ImmutableList<Double> organisationShares,
        boolean givingUp) {

    private static final ImmutableList<Double> FIVE_ORGANISATIONS = ImmutableList.of(0.4, 0.25, 0.15, 0.1, 0.1);

    /** A trace of five organisations, two of them large, whose callers are patient. */
    static TraceShape patient(double requestsPerSecond, Duration length, LoadCurve curve) {
        return new TraceShape(requestsPerSecond, length, curve, FIVE_ORGANISATIONS, false);
    }

    /** A trace of the same organisations whose callers give up. */
    static TraceShape givingUp(double requestsPerSecond, Duration length) {
        return new TraceShape(requestsPerSecond, length, LoadCurve.CONSTANT, FIVE_ORGANISATIONS, true);
    }
}
