package org.cowslippick.fleet.grant;

import java.util.Comparator;

/**
 * The order in which the owners of a pool grant attempts of one request.
 *
 * @param epoch that of the owner when it granted
 * @param attempt as counted by that owner
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
