package org.cowslippick.fleet.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.Grant;
import org.junit.jupiter.api.Test;

final class FleetGrantClientTest {

    private static final int ENDPOINTS = 2;
    private static final Duration SECOND = Duration.ofSeconds(1);

    private static InstanceName name(GrantFleet.Entry entry) {
        return new InstanceName(entry.name);
    }

    @Test
    void grantsCrossTheNetworkAndReportsFreeTheSlot() {
        GrantFleet fleet = new GrantFleet(3, 1);
        GrantFleet.Call first = fleet.nonOwner().request();
        GrantFleet.Call second = fleet.nonOwner().request();
        fleet.advance(SECOND);
        assertEquals(1, first.grants);
        assertEquals(0, second.grants);
        first.end(DispatchPhase.FINISHED, false);
        fleet.advance(SECOND);
        assertEquals(1, second.grants);
    }

    @Test
    void aNewOwnerLearnsWaitingAndRunningRequestsWithinASecond() {
        GrantFleet fleet = new GrantFleet(3, 1);
        GrantFleet.Entry owner = fleet.owner();
        GrantFleet.Call running = fleet.nonOwner().request();
        GrantFleet.Call waiting = fleet.nonOwner().request();
        fleet.advance(SECOND);
        fleet.kill(owner);
        fleet.advance(SECOND);
        assertEquals(1, running.grants);
        assertEquals(0, waiting.grants);
        assertEquals(1, fleet.owner().snapshot().orElseThrow().queued());
        running.end(DispatchPhase.FINISHED, false);
        fleet.advance(SECOND);
        assertEquals(1, waiting.grants);
    }

    @Test
    void aLeavingOwnerTransfersItsPool() {
        GrantFleet fleet = new GrantFleet(3, 1);
        GrantFleet.Entry owner = fleet.owner();
        GrantFleet.Call running = owner.request();
        GrantFleet.Call waiting = owner.request();
        fleet.advance(SECOND);
        fleet.leave(owner);
        fleet.advance(SECOND);
        running.end(DispatchPhase.FINISHED, false);
        fleet.advance(SECOND);
        assertEquals(1, waiting.grants);
        assertFalse(waiting.wasDoubleGranted);
        assertEquals(0, owner.snapshot().map(snapshot -> snapshot.queued()).orElse(0));
    }

    @Test
    void slotsOfACrashedEntryAreFreed() {
        GrantFleet fleet = new GrantFleet(3, 1);
        GrantFleet.Entry victim = fleet.nonOwner();
        victim.request();
        fleet.advance(SECOND);
        GrantFleet.Call next = fleet.owner().request();
        fleet.kill(victim);
        fleet.advance(SECOND);
        assertEquals(1, next.grants);
    }

    @Test
    void refusesWhenTheOwnerCannotBeReached() {
        GrantFleet fleet = new GrantFleet(2, 1);
        GrantFleet.Entry asking = fleet.nonOwner();
        fleet.peers.partition(name(asking), name(fleet.owner()));
        GrantFleet.Call call = asking.request();
        fleet.advance(PoolClient.OWNER_TIMEOUT.minusMillis(1));
        assertEquals(Optional.empty(), call.failure);
        fleet.advance(Duration.ofMillis(200));
        assertEquals(Optional.of(ErrorKind.POOL_OWNER_UNREACHABLE), call.failure.map(Failure::kind));
    }

    @Test
    void aGrantLostOnASilentConnectionIsRepeated() {
        GrantFleet fleet = new GrantFleet(2, 1);
        GrantFleet.Entry asking = fleet.nonOwner();
        fleet.peers.silence(name(fleet.owner()), name(asking));
        GrantFleet.Call call = asking.request();
        fleet.advance(SECOND);
        assertEquals(0, call.grants);
        fleet.peers.reconnect(name(fleet.owner()), name(asking));
        fleet.advance(SECOND);
        assertEquals(1, call.grants);
        assertFalse(call.wasDoubleGranted);
    }

    @Test
    void aPausedFormerOwnerIsIgnored() {
        GrantFleet fleet = new GrantFleet(3, 1);
        GrantFleet.Entry former = fleet.owner();
        GrantFleet.Entry asking = fleet.nonOwner();
        GrantFleet.Call running = asking.request();
        GrantFleet.Call waiting = asking.request();
        fleet.advance(SECOND);
        PeerNetwork formerOwnerNetwork = fleet.peers.join(fleet.identity(former));
        ImmutableList<String> others = fleet.entries().stream()
                .filter(entry -> entry != former)
                .map(entry -> entry.name)
                .collect(ImmutableList.toImmutableList());
        fleet.entries().stream()
                .filter(entry -> entry != former)
                .forEach(entry -> entry.membership.set(GrantFleet.membershipOf(others)));
        fleet.advance(SECOND);
        RequestId id = waiting.descriptor.id();
        Grant stale = new Grant(id, name(asking), new EndpointName("engine-0"), 9, Grant.Reason.FIRST);
        formerOwnerNetwork.send(name(asking), new Granted(GrantFleet.POOL, stale, Long.MAX_VALUE));
        fleet.advance(SECOND);
        assertEquals(0, waiting.grants);
        running.end(DispatchPhase.FINISHED, false);
        fleet.advance(SECOND);
        assertEquals(1, waiting.grants);
    }

    @Test
    void grantsOlderThanTheNewestEpochAreIgnored() {
        GrantFleet fleet = new GrantFleet(2, 1);
        GrantFleet.Entry asking = fleet.nonOwner();
        asking.request();
        GrantFleet.Call waiting = asking.request();
        fleet.advance(SECOND);
        RequestId id = waiting.descriptor.id();
        Grant stale = new Grant(id, name(asking), new EndpointName("engine-0"), 9, Grant.Reason.FIRST);
        fleet.peers.join(fleet.identity(fleet.owner())).send(name(asking), new Granted(GrantFleet.POOL, stale, -1));
        fleet.advance(Duration.ofMillis(10));
        assertEquals(0, waiting.grants);
    }

    @Test
    void requestsLeaveTheirRegionOnlyIfTheyMay() {
        GrantFleet fleet = new GrantFleet(2, 1);
        GrantFleet.Entry asking = fleet.nonOwner();
        Region south = new Region("south");
        GrantFleet.Call restricted = new GrantFleet.Call(asking, fleet.descriptor(asking.name, "bound", false, south));
        GrantFleet.Call unrestricted = new GrantFleet.Call(asking, fleet.descriptor(asking.name, "free", true, south));
        asking.client.request(GrantFleet.POOL, restricted.descriptor, restricted);
        asking.client.request(GrantFleet.POOL, unrestricted.descriptor, unrestricted);
        fleet.advance(SECOND);
        assertEquals(Optional.of(ErrorKind.NO_ENDPOINT), restricted.failure.map(Failure::kind));
        assertEquals(1, unrestricted.grants);
    }

    /** After random faults, every request of a live entry has ended exactly once, and no slot stays occupied. */
    @Property(seed = "1", tries = 300)
    void noRequestIsLostOrGrantedTwiceUnderRandomFaults(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        Random random = new Random(seed);
        GrantFleet fleet = new GrantFleet(4, ENDPOINTS);
        for (int step = 0; step < 60; step++) {
            randomStep(fleet, random);
            fleet.advance(Duration.ofMillis(random.nextInt(300)));
        }
        endFaultsAndRequests(fleet);
        fleet.entries()
                .forEach(entry -> entry.calls.forEach(call -> {
                    assertTrue(call.hasEnded(), () -> "request " + call.descriptor.id() + " never ended; seed " + seed);
                    assertFalse(
                            call.wasDoubleGranted,
                            () -> "request " + call.descriptor.id() + " has two attempts at once; seed " + seed);
                }));
        fleet.owner().snapshot().ifPresent(snapshot -> {
            assertEquals(0, snapshot.queued());
            snapshot.endpoints().forEach(endpoint -> assertEquals(0, endpoint.inFlight()));
        });
    }

    private static void randomStep(GrantFleet fleet, Random random) {
        ImmutableList<GrantFleet.Entry> entries = fleet.entries();
        GrantFleet.Entry one = entries.get(random.nextInt(entries.size()));
        GrantFleet.Entry other = entries.get(random.nextInt(entries.size()));
        switch (random.nextInt(12)) {
            case 0 -> faultBetween(one, other, () -> fleet.peers.partition(name(one), name(other)));
            case 1 -> faultBetween(one, other, () -> fleet.peers.heal(name(one), name(other)));
            case 2 -> faultBetween(one, other, () -> fleet.peers.silence(name(one), name(other)));
            case 3 -> faultBetween(one, other, () -> fleet.peers.reconnect(name(one), name(other)));
            case 4 -> fleet.leave(one);
            case 5 -> fleet.propagateMembership();
            case 6 -> killIfMoreThanTwo(fleet, one);
            case 7, 8, 9 -> one.request();
            default -> endFirstRunningCall(one, random);
        }
    }

    private static void faultBetween(GrantFleet.Entry one, GrantFleet.Entry other, Runnable action) {
        if (one != other) {
            action.run();
        }
    }

    private static void killIfMoreThanTwo(GrantFleet fleet, GrantFleet.Entry victim) {
        if (fleet.entries().size() > 2) {
            fleet.kill(victim);
        }
    }

    private static void endFirstRunningCall(GrantFleet.Entry entry, Random random) {
        boolean retry = random.nextInt(3) == 0;
        entry.calls.stream().filter(call -> !call.running.isEmpty()).findFirst().ifPresent(call -> {
            call.end(retry ? DispatchPhase.REFUSED : DispatchPhase.FINISHED, retry);
        });
    }

    private static void endFaultsAndRequests(GrantFleet fleet) {
        fleet.entries().forEach(one -> fleet.entries().stream()
                .filter(other -> one != other)
                .forEach(other -> {
                    fleet.peers.heal(name(one), name(other));
                    fleet.peers.reconnect(name(one), name(other));
                }));
        fleet.propagateMembership();
        for (int round = 0; round < 120; round++) {
            fleet.advance(Duration.ofMillis(300));
            fleet.entries().forEach(entry -> entry.calls.stream()
                    .filter(call -> !call.running.isEmpty())
                    .forEach(call -> call.end(DispatchPhase.FINISHED, false)));
        }
        fleet.advance(SECOND);
    }
}
