package org.cowslippick.relay.limit;

import java.time.Duration;
import org.cowslippick.core.routing.Quota;

/**
 * How far the use of a quota may go over it in a sliding window. A small quota may be exceeded lastingly, as the slack
 * is the same for all.
 *
 * @param overshoot as a share of what the quota allows in the window
 * @param slack in the unit of the quota
 */
public record QuotaTolerance(Duration window, double overshoot, double slack) {

    /** The rest is for what other instances use while their reports of it are on their way. */
    private static final double USED_SHARE = 0.85;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** The rate of a bucket of the quota's burst that stays within the tolerance in every window. */
    double refillPerSecond(Quota quota) {
        double seconds = window.toMillis() / MILLISECONDS_PER_SECOND;
        double tolerated = (quota.perSecond() * seconds + quota.burst()) * (1 + overshoot) + slack;
        return Math.max(quota.perSecond(), (USED_SHARE * tolerated - quota.burst()) / seconds);
    }
}
