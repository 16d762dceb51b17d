package org.cowslippick.fleet.grant;

import java.util.Comparator;

/**
 * Orders the grants of one request across the owners of its pool.
 *
 * @param epoch the owner's epoch at the time of the grant; an epoch starts as the wall-clock time in milliseconds, and
 *     is raised above the epochs of earlier owners that entries report
 * @param attempt the attempt number as counted by that owner
 */
record GrantNumber(long epoch, int attempt) implements Comparable<GrantNumber> {

    static final GrantNumber NONE = new GrantNumber(Long.MIN_VALUE, 0);

    private static final Comparator<GrantNumber> ORDER =
            Comparator.comparingLong(GrantNumber::epoch).thenComparingInt(GrantNumber::attempt);

    @Override
    public int compareTo(GrantNumber other) {
        return ORDER.compare(this, other);
    }
}
