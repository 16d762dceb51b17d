package org.cowslippick.relay.limit;

import java.time.Duration;
import org.cowslippick.core.routing.Quota;

/**
 * How far the use of a quota may go over it in a sliding window.
 *
 * @param overshoot as a share of what the quota allows in the window
 * @param slack in the unit of the quota
 */
public record QuotaTolerance(Duration window, double overshoot, double slack) {

    /** The rest is for what other instances use while their reports of it are on their way. */
    private static final double USED_SHARE = 0.6;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** The depth of a bucket: the burst and a part of the tolerance. */
    double depth(Quota quota) {
        double allowed = quota.perSecond() * window.toMillis() / MILLISECONDS_PER_SECOND + quota.burst();
        return quota.burst() + USED_SHARE * (overshoot * allowed + slack);
    }
}
