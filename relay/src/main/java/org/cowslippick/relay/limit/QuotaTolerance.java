package org.cowslippick.relay.limit;

import java.time.Duration;
import org.cowslippick.core.routing.Quota;

/**
 * How far usage may exceed a quota in a sliding window. A small quota may be exceeded permanently, as the slack is the
 * same for all quotas.
 *
 * @param overshoot as a fraction of what the quota allows in the window
 * @param slack in the unit of the quota
 */
public record QuotaTolerance(Duration window, double overshoot, double slack) {

    /** The rest covers what other instances use until their reports of it arrive. */
    private static final double USABLE_SHARE = 0.85;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** The refill rate with which a token bucket of the quota's burst stays within the tolerance in every window. */
    double refillPerSecond(Quota quota) {
        double seconds = window.toMillis() / MILLISECONDS_PER_SECOND;
        double tolerated = (quota.ratePerSecond() * seconds + quota.burst()) * (1 + overshoot) + slack;
        return Math.max(quota.ratePerSecond(), (USABLE_SHARE * tolerated - quota.burst()) / seconds);
    }
}
