package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * The parameters from which a trace is generated.
 *
 * @param requestsPerSecond initial arrival rate
 * @param organisationShares share of each organisation in the requests; the shares sum to 1
 * @param callersTimeOut whether callers disconnect if the first token is late
 */
record TraceParameters(
        double requestsPerSecond,
        Duration duration,
        LoadCurve curve,
        ImmutableList<Double> organisationShares,
        boolean callersTimeOut) {

    private static final ImmutableList<Double> FIVE_ORGANISATIONS = ImmutableList.of(0.4, 0.25, 0.15, 0.1, 0.1);

    /** Returns parameters for five organisations, two of them large, whose callers do not time out. */
    static TraceParameters withoutTimeouts(double requestsPerSecond, Duration duration, LoadCurve curve) {
        return new TraceParameters(requestsPerSecond, duration, curve, FIVE_ORGANISATIONS, false);
    }

    /** Returns parameters for the same organisations with callers that time out. */
    static TraceParameters withTimeouts(double requestsPerSecond, Duration duration) {
        return new TraceParameters(requestsPerSecond, duration, LoadCurve.CONSTANT, FIVE_ORGANISATIONS, true);
    }
}
