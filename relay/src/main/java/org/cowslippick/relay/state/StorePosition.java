package org.cowslippick.relay.state;

import java.util.Comparator;

/**
 * A point in the history of the store. A store that restarts from an older copy of its contents begins a new era, in
 * which it gives out revisions again; a position of a newer era is therefore newer whatever its revision.
 *
 * @param era 0 for a store that names none
 * @param revision negative before the first read
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** Before the first read; older than all positions of the store. */
    public static final StorePosition NEVER_READ = new StorePosition(0, -1);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /** Whether it comes from the store. */
    public boolean isRead() {
        return revision >= 0;
    }

    public boolean isNewerThan(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Whether the store has restarted from an older copy since the other position was read. */
    public boolean isOfNewerEraThan(StorePosition other) {
        return other.isRead() && era > other.era;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }
}
