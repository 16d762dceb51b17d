package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
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
 * Requests grants from the owner of each pool, in this process if this entry owns the pool and over the network
 * otherwise, and serves other entries for the pools owned here. The design is explained in
 * docs/design/MEMBERSHIP-AND-GRANTS.md.
 */
public final class FleetGrantClient implements GrantClient, AutoCloseable {

    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    private final TimerService timer;
    private final Executor executor;
    private final GrantTransport transport;
    private final GrantOwner owner;
    private final Map<PoolKey, SerialPoolClient> clients = new ConcurrentHashMap<>();
    private final AtomicReference<MembershipView> view;
    private final ImmutableList<Subscription> subscriptions;

    /** Subscribes to the network and the membership; {@code factory} creates the schedulers of owned pools. */
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
        this.view = new AtomicReference<>(new MembershipView(membership.current()));
        this.subscriptions = ImmutableList.of(
                network.subscribe(Offer.class, owner::receive),
                network.subscribe(Withdrawal.class, owner::receive),
                network.subscribe(Report.class, owner::receive),
                network.subscribe(Adoption.class, owner::receive),
                network.subscribe(Resync.class, owner::receive),
                network.subscribe(ResyncRequest.class, this::receive),
                network.subscribe(Granted.class, this::receive),
                network.subscribe(Refused.class, this::receive),
                network.addListener(new Connections()),
                membership.subscribe(this::membershipChanged),
                timer.scheduleWithFixedDelay(TICK_PERIOD, this::tick));
    }

    /** Returns the host of the pools owned here. */
    public PoolHost host() {
        return owner.host();
    }

    /** Returns the ownership in this entry's current view of the membership. */
    public Ownership ownership() {
        return view.get().ownership;
    }

    @Override
    public void request(PoolKey pool, RequestDescriptor request, GrantListener listener) {
        if (request.crossRegion() || request.callerRegion().equals(pool.region())) {
            client(pool).run(client -> client.request(request, listener));
        } else {
            listener.refused(Failure.of(
                    ErrorKind.NO_ENDPOINT,
                    "request " + request.id() + " may not leave region " + request.callerRegion() + " for pool "
                            + pool));
        }
    }

    @Override
    public void withdraw(PoolKey pool, RequestId request) {
        client(pool).run(client -> client.withdraw(request));
    }

    @Override
    public void report(PoolKey pool, DispatchReport report) {
        client(pool).run(client -> client.report(report));
    }

    @Override
    public void close() {
        subscriptions.forEach(Subscription::cancel);
        owner.host().close();
    }

    private void receive(PeerIdentity sender, PoolMessage message) {
        client(message.pool()).run(client -> client.receive(sender, message));
    }

    private void membershipChanged(Membership changed) {
        MembershipView before = view.getAndSet(new MembershipView(changed));
        owner.membershipChanged(before.membership, changed);
        forEachClient(this::updateOwner);
    }

    private void tick() {
        MembershipView current = view.get();
        owner.tick(current.membership, current.ownership);
        forEachClient(PoolClient::tick);
    }

    private SerialPoolClient client(PoolKey pool) {
        return clients.computeIfAbsent(pool, this::open);
    }

    private SerialPoolClient open(PoolKey pool) {
        SerialPoolClient opened = new SerialPoolClient(
                new PoolClient(pool, timer, transport, owner::receive), MoreExecutors.newSequentialExecutor(executor));
        opened.run(client -> updateOwner(pool, client));
        return opened;
    }

    private void updateOwner(PoolKey pool, PoolClient client) {
        client.changeOwner(ownership().ownerOf(pool).map(Member::name));
    }

    private void forEachClient(Consumer<PoolClient> action) {
        clients.values().forEach(serial -> serial.run(action));
    }

    private void forEachClient(BiConsumer<PoolKey, PoolClient> action) {
        clients.forEach((pool, serial) -> serial.run(client -> action.accept(pool, client)));
    }

    private final class Connections implements PeerListener {
        @Override
        public void connected(InstanceName peer) {
            forEachClient(client -> client.connected(peer));
        }

        @Override
        public void disconnected(InstanceName peer) {
            owner.disconnected(peer);
            forEachClient(client -> client.disconnected(peer));
        }
    }

    private static final class MembershipView {
        private final Membership membership;
        private final Ownership ownership;

        MembershipView(Membership membership) {
            this.membership = membership;
            this.ownership = new Ownership(membership);
        }
    }

    private record SerialPoolClient(PoolClient client, Executor executor) {
        void run(Consumer<PoolClient> action) {
            executor.execute(() -> action.accept(client));
        }
    }
}
