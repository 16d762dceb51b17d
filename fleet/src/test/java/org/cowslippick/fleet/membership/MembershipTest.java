package org.cowslippick.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.InMemoryPeerNetworks;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.wire.MessageTypes;
import org.junit.jupiter.api.Test;

final class MembershipTest {

    private static final Duration DETECTION_TIME = Duration.ofSeconds(5);

    private final ManualTimerService timer = new ManualTimerService();
    private final InMemoryPeerNetworks networks =
            new InMemoryPeerNetworks(timer, new MessageTypes(MembershipMessages.TYPES));
    private final Map<String, MembershipService> entries = new LinkedHashMap<>();
    private ImmutableList<ListedInstance> instanceList = ImmutableList.of();

    /** A platform stub that returns the instance list for every call. */
    private Platform platform() {
        return (Platform) Proxy.newProxyInstance(
                Platform.class.getClassLoader(),
                new Class<?>[] {Platform.class},
                (_proxy, _method, _arguments) -> CompletableFuture.completedFuture(Either.right(instanceList)));
    }

    private void start(String name, long incarnation) {
        MembershipService service = new MembershipService(
                TestMembers.instance(name, region(name)), new Incarnation(incarnation), timer, platform());
        entries.put(name, service);
        service.start(networks.join(service.identity()));
    }

    private static String region(String name) {
        return name.startsWith("n") ? "north" : "south";
    }

    private void startFleet(int size) {
        ImmutableList.Builder<ListedInstance> all = ImmutableList.builder();
        for (int index = 0; index < size; index++) {
            String name = (index % 2 == 0 ? "n" : "s") + index;
            all.add(new ListedInstance(TestMembers.instance(name, region(name)), ListedInstance.State.LIVE));
        }
        instanceList = all.build();
        instanceList.forEach(entry -> start(entry.instance().name().value(), 1));
        timer.advance(DETECTION_TIME.multipliedBy(2));
    }

    private boolean allEntriesSee(String name) {
        return entries.values().stream()
                .allMatch(entry -> entry.current().find(new InstanceName(name)).isPresent());
    }

    private boolean noEntryAssignsWorkTo(String name) {
        return entries.values().stream().noneMatch(entry -> entry.current()
                .membersAcceptingWork()
                .anyMatch(member -> member.name().value().equals(name)));
    }

    private void kill(String name) {
        entries.remove(name);
        networks.kill(new InstanceName(name));
    }

    @Test
    void allEntriesSeeAllOthers() {
        startFleet(20);
        entries.values()
                .forEach(entry -> assertEquals(20, entry.current().members().size()));
    }

    @Test
    void aLeavingEntryGetsNoNewWorkAfterThreeSeconds() {
        startFleet(20);
        entries.get("s3").leave();
        timer.advance(Duration.ofSeconds(3));
        assertTrue(noEntryAssignsWorkTo("s3"));
    }

    @Test
    void aStaleListNeverResurrectsADeadEntryButItsNextIncarnationJoins() {
        startFleet(10);
        kill("n2");
        timer.advance(DETECTION_TIME);
        assertTrue(noEntryAssignsWorkTo("n2"));
        timer.advance(DETECTION_TIME.multipliedBy(6));
        assertTrue(noEntryAssignsWorkTo("n2"));
        start("n2", 2);
        timer.advance(DETECTION_TIME);
        assertTrue(allEntriesSee("n2"));
    }

    @Test
    void anEntryWithSilentConnectionsIsNotDeclaredDead() {
        startFleet(10);
        entries.keySet().stream()
                .filter(other -> !other.equals("n2"))
                .forEach(other -> networks.silence(new InstanceName(other), new InstanceName("n2")));
        timer.advance(DETECTION_TIME);
        assertTrue(allEntriesSee("n2"));
    }

    @Test
    void aPartitionedEntryRejoinsAsANewIncarnation() {
        startFleet(10);
        ImmutableList<String> others =
                entries.keySet().stream().filter(other -> !other.equals("n2")).collect(ImmutableList.toImmutableList());
        others.forEach(other -> networks.partition(new InstanceName(other), new InstanceName("n2")));
        timer.advance(DETECTION_TIME);
        others.forEach(other -> assertTrue(
                entries.get(other).current().find(new InstanceName("n2")).isEmpty()));
        others.forEach(other -> networks.heal(new InstanceName(other), new InstanceName("n2")));
        timer.advance(DETECTION_TIME.multipliedBy(2));
        assertTrue(allEntriesSee("n2"));
        assertTrue(entries.get("n2").identity().incarnation().number() > 1);
    }

    @Property(seed = "1", tries = 500)
    void mergeIsCommutativeAssociativeAndIdempotent(@ForAll int one, @ForAll int two, @ForAll int three) {
        MemberRecord first = record(one);
        MemberRecord second = record(two);
        MemberRecord third = record(three);
        assertEquals(first.merge(second), second.merge(first));
        assertEquals(first.merge(second).merge(third), first.merge(second.merge(third)));
        assertEquals(first, first.merge(first));
    }

    private static MemberRecord record(int bits) {
        return new MemberRecord(
                TestMembers.instance("a", "north"),
                new Incarnation((bits >> 4) & 1),
                (bits >> 3) & 1,
                (bits & 1) != 0,
                (bits & 2) != 0,
                (bits & 4) != 0);
    }
}
