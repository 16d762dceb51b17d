package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.membership.MembershipSource;
import org.cowslippick.fleet.ownership.Ownership;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerListener;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.scheduler.pool.DispatchReport;

/**
 * Grants for all pools of the fleet: those that this entry owns are asked directly, others over the network. It also
 * answers other entries for the pools owned here. docs/design/MEMBERSHIP-AND-GRANTS.md gives the reasons.
 */
public final class FleetGrantClient implements GrantClient, AutoCloseable {

    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    private final TimerService timer;
    private final Executor executor;
    private final GrantTransport transport;
    private final GrantOwner owner;
    private final Map<PoolKey, Lane> lanes = new ConcurrentHashMap<>();
    private final AtomicReference<View> view;
    private final ImmutableList<Subscription> subscriptions;

    /** Creates the client and the host of the pools that this entry comes to own. */
    public FleetGrantClient(
            TimerService timer,
            Executor executor,
            PoolFactory factory,
            Supplier<PeerIdentity> self,
            PeerNetwork network,
            MembershipSource membership) {
        this.timer = timer;
        this.executor = executor;
        this.transport = new GrantTransport(self, network);
        this.owner = new GrantOwner(timer, executor, factory, transport, this::receive);
        this.view = new AtomicReference<>(new View(membership.current()));
        this.subscriptions = ImmutableList.of(
                network.subscribe(Offer.class, owner::receive),
                network.subscribe(Withdrawal.class, owner::receive),
                network.subscribe(Report.class, owner::receive),
                network.subscribe(Adoption.class, owner::receive),
                network.subscribe(Resync.class, owner::receive),
                network.subscribe(ResyncRequest.class, this::receive),
                network.subscribe(Granted.class, this::receive),
                network.subscribe(Refused.class, this::receive),
                network.listen(new Connections()),
                membership.subscribe(this::changed),
                timer.every(TICK_PERIOD, this::tick));
    }

    /** The host of the pools owned here. */
    public PoolHost host() {
        return owner.host();
    }

    /** Who owns what at the moment. */
    public Ownership ownership() {
        return view.get().ownership;
    }

    @Override
    public void request(PoolKey pool, RequestDescriptor request, GrantListener listener) {
        if (request.crossRegion() || request.callerRegion().equals(pool.region())) {
            lane(pool).run(client -> client.request(request, listener));
        } else {
            listener.refused(
                    Failure.of(ErrorKind.NO_ENDPOINT, "request " + request.id() + " may not leave its region"));
        }
    }

    @Override
    public void withdraw(PoolKey pool, RequestId request) {
        lane(pool).run(client -> client.withdraw(request));
    }

    @Override
    public void report(PoolKey pool, DispatchReport report) {
        lane(pool).run(client -> client.report(report));
    }

    @Override
    public void close() {
        subscriptions.forEach(Subscription::cancel);
        owner.host().close();
    }

    private void receive(PeerIdentity sender, PoolMessage message) {
        lane(message.pool()).run(client -> client.received(sender, message));
    }

    private void changed(Membership changed) {
        View before = view.getAndSet(new View(changed));
        owner.changed(before.membership, changed);
        forEachLane(this::updateOwner);
    }

    private void tick() {
        View current = view.get();
        owner.tick(current.membership, current.ownership);
        forEachLane(PoolClient::tick);
    }

    private Lane lane(PoolKey pool) {
        return lanes.computeIfAbsent(pool, this::open);
    }

    private Lane open(PoolKey pool) {
        Lane lane = new Lane(
                new PoolClient(pool, timer, transport, owner::receive), MoreExecutors.newSequentialExecutor(executor));
        lane.run(client -> updateOwner(pool, client));
        return lane;
    }

    private void updateOwner(PoolKey pool, PoolClient client) {
        client.ownerIs(ownership().ownerOf(pool).map(Member::name));
    }

    private void forEachLane(Consumer<PoolClient> action) {
        lanes.values().forEach(lane -> lane.run(action));
    }

    private void forEachLane(java.util.function.BiConsumer<PoolKey, PoolClient> action) {
        lanes.forEach((pool, lane) -> lane.run(client -> action.accept(pool, client)));
    }

    private final class Connections implements PeerListener {
        @Override
        public void connected(InstanceName peer) {
            forEachLane(client -> client.connected(peer));
        }

        @Override
        public void disconnected(InstanceName peer) {
            owner.lost(peer);
            forEachLane(client -> client.disconnected(peer));
        }
    }

    private static final class View {
        private final Membership membership;
        private final Ownership ownership;

        View(Membership membership) {
            this.membership = membership;
            this.ownership = new Ownership(membership);
        }
    }

    private record Lane(PoolClient client, Executor sequential) {
        void run(Consumer<PoolClient> action) {
            sequential.execute(() -> action.accept(client));
        }
    }
}
