package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotPool;

/**
 * Chooses the region whose endpoints get a request: the caller's own, unless requests wait there while another region
 * has slots to spare. This answers a crest that comes to one region alone.
 */
final class PoolSelector {

    /** Reports are a period old, so a few slots are left to the other region's own callers. */
    private static final int SPARE_SLOTS = 3;

    private final Region home;

    PoolSelector(Region home) {
        this.home = home;
    }

    SlotPool choose(ServiceName service, ImmutableList<SlotPool> pools, Function<SlotPool, PoolLoad> loads) {
        SlotPool own = new SlotPool(service, home);
        boolean room = pools.contains(own)
                && (loads.apply(own).freeSlots() > 0 || loads.apply(own).waiting() == 0);
        if (room) {
            return own;
        }
        Optional<SlotPool> emptiest = pools.stream()
                .filter(pool -> pool.service().equals(service) && !pool.equals(own))
                .max(Comparator.comparingInt(pool -> loads.apply(pool).freeSlots()));
        return emptiest.filter(pool -> !pools.contains(own) || loads.apply(pool).freeSlots() > SPARE_SLOTS)
                .orElse(own);
    }
}
