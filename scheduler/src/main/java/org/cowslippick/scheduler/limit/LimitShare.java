package org.cowslippick.scheduler.limit;

import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.world.InstanceName;

/**
 * The part of a scope's limits that one entry may use, each part from 0 to 1. The parts of all entries add up to 1.
 *
 * @param entries how many entries share the scope
 */
public record LimitShare(
        InstanceName entry, SectionName scope, double requestRateShare, double tokenRateShare, double concurrencyShare, int entries) {

    /** An equal part for each of so many entries. */
    public static LimitShare equal(InstanceName entry, SectionName scope, int entries) {
        double part = 1.0 / entries;
        return new LimitShare(entry, scope, part, part, part, entries);
    }
}
