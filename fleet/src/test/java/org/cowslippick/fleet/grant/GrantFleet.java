package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.FencingSupport;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.core.world.PoolName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.core.world.TierName;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.membership.SettableMembership;
import org.cowslippick.fleet.membership.TestMembers;
import org.cowslippick.fleet.peer.InMemoryPeerNetworks;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.PoolSnapshot;
import org.cowslippick.scheduler.pool.TieredPool;

/** Entries that share one pool of endpoints with one slot each, over an in-memory network and manual time. */
final class GrantFleet {

    static final PoolKey POOL = new PoolKey(new PoolName("chat"), new Region("north"));
    private static final Duration LONG_DEADLINE = Duration.ofHours(1);

    final ManualTimerService timer = new ManualTimerService();
    final InMemoryPeerNetworks peers = new InMemoryPeerNetworks(timer, new MessageTypes(GrantMessages.TYPES));
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final int endpoints;
    private int requests;

    GrantFleet(int entryCount, int endpoints) {
        this.endpoints = endpoints;
        ImmutableList<String> names =
                IntStream.range(0, entryCount).mapToObj(index -> "e" + index).collect(ImmutableList.toImmutableList());
        Membership all = membershipOf(names);
        names.forEach(name -> entries.put(name, new Entry(name, all)));
    }

    ImmutableList<Entry> entries() {
        return ImmutableList.copyOf(entries.values());
    }

    /** Returns the owner in the view of the first live entry. */
    Entry owner() {
        Entry any = entries.values().iterator().next();
        return entries.get(
                any.client.ownership().ownerOf(POOL).orElseThrow().name().value());
    }

    /** Returns an entry that is not the owner. */
    Entry nonOwner() {
        Entry owner = owner();
        return entries.values().stream()
                .filter(entry -> entry != owner)
                .findFirst()
                .orElseThrow();
    }

    /** Crashes the entry; the others see the new membership at once. */
    void kill(Entry entry) {
        entries.remove(entry.name);
        entry.client.close();
        peers.kill(new InstanceName(entry.name));
        propagateMembership();
    }

    /** Gives every entry the same, current membership. */
    void propagateMembership() {
        Membership all = membershipOf(ImmutableList.copyOf(entries.keySet()));
        entries.values().forEach(entry -> entry.membership.set(all));
    }

    /** Marks the entry as leaving in the view of every entry. */
    void leave(Entry leaving) {
        Membership all = Membership.of(entries.keySet().stream()
                .map(name -> TestMembers.member(name, "north", 1))
                .map(member -> member.name().value().equals(leaving.name)
                        ? new Member(member.instance(), member.incarnation(), Member.Status.LEAVING)
                        : member)
                .collect(ImmutableList.toImmutableList()));
        entries.values().forEach(entry -> entry.membership.set(all));
    }

    PeerIdentity identity(Entry entry) {
        return new PeerIdentity(
                new InstanceName(entry.name),
                TestMembers.member(entry.name, "north", 1).incarnation(),
                POOL.region());
    }

    void advance(Duration duration) {
        timer.advance(duration);
    }

    static Membership membershipOf(ImmutableList<String> names) {
        return Membership.of(names.stream()
                .map(name -> TestMembers.member(name, "north", 1))
                .collect(ImmutableList.toImmutableList()));
    }

    private ImmutableList<Endpoint> poolEndpoints() {
        return IntStream.range(0, endpoints)
                .mapToObj(index -> new Endpoint(
                        new EndpointName("engine-" + index),
                        POOL.pool(),
                        EndpointKind.MODEL,
                        new FailureDomain("north-a", POOL.region()),
                        HostAndPort.fromParts("127.0.0.1", 1),
                        1,
                        FencingSupport.CHECKED))
                .collect(ImmutableList.toImmutableList());
    }

    /** One entry with its grant client and its calls. */
    final class Entry {
        final String name;
        final FleetGrantClient client;
        final SettableMembership membership;
        final List<Call> calls = new ArrayList<>();

        Entry(String name, Membership view) {
            this.name = name;
            this.membership = new SettableMembership(view);
            PeerIdentity identity = identity(this);
            this.client = new FleetGrantClient(
                    timer,
                    Runnable::run,
                    _pool -> new TieredPool(1, PoolSettings.DEFAULT),
                    () -> identity,
                    peers.join(identity),
                    membership);
            client.host()
                    .replaceEndpoints(ImmutableListMultimap.<PoolKey, Endpoint>builder()
                            .putAll(POOL, poolEndpoints())
                            .build());
        }

        Call request() {
            Call call = new Call(this, descriptor(name, "r" + requests++, false, POOL.region()));
            calls.add(call);
            client.request(POOL, call.descriptor, call);
            return call;
        }

        Optional<PoolSnapshot> snapshot() {
            List<PoolSnapshot> snapshots = new ArrayList<>();
            client.host().snapshots((_pool, snapshot) -> snapshots.add(snapshot));
            return snapshots.stream().findFirst();
        }
    }

    RequestDescriptor descriptor(String entry, String id, boolean crossRegion, Region callerRegion) {
        return new RequestDescriptor(
                new RequestId(id),
                new InstanceName(entry),
                callerRegion,
                new OrganisationName("bureau"),
                new ServiceName("chat"),
                new Tier(new TierName("urgent"), 0, 1),
                DispatchRule.RUN_ONCE,
                timer.nanoTime(),
                LONG_DEADLINE.toNanos(),
                LONG_DEADLINE.toNanos(),
                10,
                10,
                crossRegion,
                ImmutableList.of(),
                1);
    }

    /** A request of an entry, which records its grants and refusals. */
    static final class Call implements GrantListener {
        final RequestDescriptor descriptor;
        private final Entry entry;
        final List<Grant> running = new ArrayList<>();
        int grants;
        boolean wasDoubleGranted;
        boolean finished;
        Optional<Failure> failure = Optional.empty();

        Call(Entry entry, RequestDescriptor descriptor) {
            this.entry = entry;
            this.descriptor = descriptor;
        }

        @Override
        public void granted(Grant grant) {
            wasDoubleGranted = wasDoubleGranted || !running.isEmpty() || hasEnded();
            grants++;
            running.add(grant);
        }

        @Override
        public void refused(Failure refusal) {
            failure = Optional.of(refusal);
        }

        boolean hasEnded() {
            return finished || failure.isPresent();
        }

        void end(DispatchPhase phase, boolean retryWanted) {
            Grant grant = running.remove(0);
            finished = !retryWanted;
            entry.client.report(
                    POOL, new DispatchReport(grant.request(), grant.endpoint(), phase, 1, 1, 1, retryWanted));
        }
    }
}
