package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.slot.SlotPool;
import org.junit.jupiter.api.Test;

class PoolOwnersTest {

    private static final InstanceName SELF = new InstanceName("weak-1");
    private static final SlotPool POOL = new SlotPool(new ServiceName("model"), new Region("asturias"));

    private final AtomicReference<ImmutableList<Instance>> members = new AtomicReference<>(ImmutableList.of(
            instance("weak-1", "asturias", 0.36),
            instance("weak-2", "asturias", 0.36),
            instance("strong-1", "asturias", 1.5),
            instance("strong-2", "asturias", 1.5),
            instance("strong-3", "cantabria", 3)));
    private final PoolOwners owners = new PoolOwners(SELF, members::get);

    @Test
    void ownerIsAPowerfulInstanceOfTheRegion() {
        assertTrue(owners.owner(POOL).value().matches("strong-[12]"));
    }

    @Test
    void unresponsiveOwnerIsExcludedUntilTheGivenTime() {
        InstanceName first = owners.owner(POOL);
        owners.exclude(first, 100);
        assertNotEquals(first, owners.owner(POOL));
        owners.refresh(99);
        assertNotEquals(first, owners.owner(POOL));
        owners.refresh(100);
        assertEquals(first, owners.owner(POOL));
    }

    @Test
    void designatedOwnerStaysTheSameWhileItIsExcluded() {
        InstanceName first = owners.owner(POOL);
        assertEquals(first, owners.designatedOwner(POOL));
        owners.exclude(first, 100);
        assertNotEquals(first, owners.owner(POOL));
        assertEquals(first, owners.designatedOwner(POOL));
    }

    @Test
    void poolOfARegionWithoutMembersIsOwnedByAnotherRegion() {
        members.set(ImmutableList.of(instance("weak-1", "cantabria", 0.36)));
        owners.refresh(0);
        assertEquals(SELF, owners.owner(POOL));
    }

    private static Instance instance(String name, String region, double processors) {
        HostAndPort address = HostAndPort.fromParts("10.0.0.1", 1);
        return new Instance(
                new InstanceName(name), new FailureDomain("domain", new Region(region)), address, address, processors);
    }
}
