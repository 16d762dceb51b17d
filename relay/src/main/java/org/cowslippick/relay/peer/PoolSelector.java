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
 * Selects the region whose endpoints serve a request: the local one, unless requests wait there while another region
 * has spare slots. This absorbs load peaks that are limited to one region.
 */
final class PoolSelector {

    /** Reports are up to one period old, so a few slots are reserved for the callers of the other region. */
    private static final int RESERVED_SLOTS = 3;

    private final Region localRegion;

    PoolSelector(Region localRegion) {
        this.localRegion = localRegion;
    }

    SlotPool select(ServiceName service, ImmutableList<SlotPool> pools, Function<SlotPool, PoolLoad> loads) {
        SlotPool local = new SlotPool(service, localRegion);
        boolean isLocalAvailable = pools.contains(local)
                && (loads.apply(local).freeSlots() > 0 || loads.apply(local).waiting() == 0);
        if (isLocalAvailable) {
            return local;
        }
        Optional<SlotPool> leastLoaded = pools.stream()
                .filter(pool -> pool.service().equals(service) && !pool.equals(local))
                .max(Comparator.comparingInt(pool -> loads.apply(pool).freeSlots()));
        return leastLoaded
                .filter(pool -> !pools.contains(local) || loads.apply(pool).freeSlots() > RESERVED_SLOTS)
                .orElse(local);
    }
}
