package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.ownership.RendezvousHashing;
import org.cowslippick.fleet.peer.PeerDirectory;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.platform.Platform;
import org.jboss.logging.Logger;

/**
 * Runs the membership protocol of one entry. The platform's instance list only names entries to probe: an entry becomes
 * a member only when its process has responded, directly or through gossip. Two entries of each region read the list;
 * the others learn of its entries by gossip.
 */
// The futures of Platform and PeerNetwork never complete exceptionally.
@SuppressWarnings("FutureReturnValueIgnored")
public final class MembershipService implements MembershipSource, PeerDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.membership");
    private static final Duration LIST_READ_PERIOD = Duration.ofSeconds(5);
    private static final int LIST_READERS_PER_REGION = 2;

    private final Instance self;
    private final TimerService timer;
    private final Platform platform;
    private final MembershipState state;
    private final AtomicReference<Membership> view;
    private final AtomicReference<ImmutableMap<InstanceName, Instance>> candidates =
            new AtomicReference<>(ImmutableMap.of());
    private final List<Consumer<Membership>> consumers = new CopyOnWriteArrayList<>();
    private volatile Incarnation incarnation;
    private Optional<PeerNetwork> network = Optional.empty();

    /** Creates a membership with this entry as the only member; {@link #start(PeerNetwork)} joins the fleet. */
    public MembershipService(Instance self, Incarnation incarnation, TimerService timer, Platform platform) {
        this.self = self;
        this.timer = timer;
        this.platform = platform;
        this.incarnation = incarnation;
        this.state = new MembershipState(self, incarnation);
        this.view = new AtomicReference<>(state.table().toMembership());
    }

    /** Starts probing and responding; cancelling the subscription stops both. */
    public synchronized Subscription start(PeerNetwork peers) {
        network = Optional.of(peers);
        Subscription messages = peers.subscribe(Gossip.class, this::handleGossip);
        Subscription probes = timer.scheduleWithFixedDelay(MembershipState.PROBE_PERIOD, this::tick);
        Subscription lists = timer.scheduleWithFixedDelay(LIST_READ_PERIOD, this::readListIfDesignated);
        readList();
        return () -> ImmutableList.of(messages, probes, lists).forEach(Subscription::cancel);
    }

    /** Announces that this entry accepts no new work. */
    public synchronized void leave() {
        execute(state.leave());
    }

    /** The identity to announce to peers; its incarnation increases if the entry is declared dead while it runs. */
    public PeerIdentity identity() {
        return new PeerIdentity(self.name(), incarnation, self.region());
    }

    @Override
    public Membership current() {
        return view.get();
    }

    @Override
    public Subscription subscribe(Consumer<Membership> consumer) {
        consumers.add(consumer);
        return () -> consumers.remove(consumer);
    }

    @Override
    public Optional<HostAndPort> peerAddress(InstanceName name) {
        return current()
                .find(name)
                .map(Member::instance)
                .or(() -> Optional.ofNullable(candidates.get().get(name)))
                .map(Instance::peerAddress);
    }

    private synchronized void tick() {
        execute(state.tick(timer.nanoTime()));
    }

    private synchronized void handleGossip(PeerIdentity sender, Gossip gossip) {
        execute(state.handleGossip(sender.name(), gossip, timer.nanoTime()));
    }

    private synchronized void handleConnectionProbe(InstanceName peer, boolean isAlive) {
        execute(state.handleConnectionProbe(peer, isAlive, timer.nanoTime()));
    }

    private void readListIfDesignated() {
        boolean isReader =
                RendezvousHashing.order(current().membersAcceptingWork(self.region()), "list-readers").stream()
                        .limit(LIST_READERS_PER_REGION)
                        .anyMatch(member -> member.name().equals(self.name()));
        if (isReader || current().members().size() == 1) {
            readList();
        }
    }

    private void readList() {
        platform.instances().thenAccept(result -> result.peek(this::updateCandidates)
                .peekLeft(fault -> LOGGER.infof("Instance list not read. fault=%s", fault)));
    }

    private synchronized void updateCandidates(ImmutableList<ListedInstance> instances) {
        ImmutableMap<InstanceName, Instance> unknown = instances.stream()
                .filter(entry -> entry.state() == ListedInstance.State.LIVE)
                .map(ListedInstance::instance)
                .filter(instance -> current().find(instance.name()).isEmpty())
                .collect(ImmutableMap.toImmutableMap(Instance::name, instance -> instance, (_one, other) -> other));
        candidates.set(unknown);
        unknown.keySet().forEach(name -> execute(state.probeListed(name)));
    }

    private void execute(ImmutableList<MembershipAction> actions) {
        incarnation = state.incarnation();
        publish(state.table().toMembership());
        actions.forEach(this::execute);
    }

    private void execute(MembershipAction action) {
        if (action instanceof MembershipAction.Send send) {
            network.ifPresent(peers -> peers.send(send.receiver(), send.gossip()));
        } else if (action instanceof MembershipAction.ProbeConnection probe) {
            network.ifPresent(peers ->
                    peers.probe(probe.peer()).thenAccept(isAlive -> handleConnectionProbe(probe.peer(), isAlive)));
        }
    }

    private void publish(Membership next) {
        Membership previous = view.getAndSet(next);
        if (!previous.equals(next)) {
            LOGGER.infof("View changed. members=%d", next.members().size());
            consumers.forEach(consumer -> consumer.accept(next));
        }
    }
}
