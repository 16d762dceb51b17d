package org.cowslippick.scheduler.limit;

import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.world.InstanceName;

/**
 * One entry's share of each limit of a scope, from 0 to 1. The shares of all entries add up to 1.
 *
 * @param entries the number of entries that share the scope
 */
public record LimitShare(
        InstanceName entry,
        SectionName scope,
        double requestRateShare,
        double tokenRateShare,
        double concurrencyShare,
        int entries) {

    /** Creates the share of an entry when all entries get equal shares. */
    public static LimitShare equal(InstanceName entry, SectionName scope, int entries) {
        double share = 1.0 / entries;
        return new LimitShare(entry, scope, share, share, share, entries);
    }
}
