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
import org.cowslippick.fleet.ownership.Rendezvous;
import org.cowslippick.fleet.peer.PeerDirectory;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.platform.Platform;
import org.jboss.logging.Logger;

/**
 * Runs the membership of one entry. The platform's list only says whom to ask; nobody becomes a member before its own
 * process was heard, directly or through gossip. Two entries of each region read the list, the others hear from them.
 */
// The futures of Platform and PeerNetwork never complete exceptionally.
@SuppressWarnings("FutureReturnValueIgnored")
public final class MembershipService implements MembershipSource, PeerDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.membership");
    private static final Duration LIST_PERIOD = Duration.ofSeconds(5);
    private static final int LIST_READERS = 2;

    private final Instance self;
    private final TimerService timer;
    private final Platform platform;
    private final MembershipState state;
    private final AtomicReference<Membership> view;
    private final AtomicReference<ImmutableMap<InstanceName, Instance>> listed =
            new AtomicReference<>(ImmutableMap.of());
    private final List<Consumer<Membership>> consumers = new CopyOnWriteArrayList<>();
    private volatile Incarnation incarnation;
    private Optional<PeerNetwork> network = Optional.empty();

    /** Creates a membership of the entry alone; {@link #start(PeerNetwork)} makes it join the others. */
    public MembershipService(Instance self, Incarnation incarnation, TimerService timer, Platform platform) {
        this.self = self;
        this.timer = timer;
        this.platform = platform;
        this.incarnation = incarnation;
        this.state = new MembershipState(self, incarnation);
        this.view = new AtomicReference<>(state.table().view());
    }

    /** Starts to probe and to answer; cancelling makes the entry silent. */
    public synchronized Subscription start(PeerNetwork peers) {
        network = Optional.of(peers);
        Subscription messages = peers.subscribe(Gossip.class, this::received);
        Subscription probes = timer.every(MembershipState.PERIOD, this::tick);
        Subscription lists = timer.every(LIST_PERIOD, this::readListInTurn);
        readList();
        return () -> ImmutableList.of(messages, probes, lists).forEach(Subscription::cancel);
    }

    /** Announces that this entry takes no new work. */
    public synchronized void leave() {
        carryOut(state.leave());
    }

    /** The entry as others shall see it; the incarnation grows if the entry was called dead. */
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
                .or(() -> Optional.ofNullable(listed.get().get(name)))
                .map(Instance::peerAddress);
    }

    private synchronized void tick() {
        carryOut(state.tick(timer.nanoTime()));
    }

    private synchronized void received(PeerIdentity sender, Gossip gossip) {
        carryOut(state.received(sender.name(), gossip, timer.nanoTime()));
    }

    private synchronized void confirmed(InstanceName peer, boolean alive) {
        carryOut(state.confirmed(peer, alive, timer.nanoTime()));
    }

    private void readListInTurn() {
        boolean reader = Rendezvous.order(current().working(self.region()), "list-readers").stream()
                .limit(LIST_READERS)
                .anyMatch(member -> member.name().equals(self.name()));
        if (reader || current().members().size() == 1) {
            readList();
        }
    }

    private void readList() {
        platform.instances().thenAccept(result -> result.peek(this::listed)
                .peekLeft(fault -> LOGGER.infof("Instance list not read. fault=%s", fault)));
    }

    private synchronized void listed(ImmutableList<ListedInstance> instances) {
        ImmutableMap<InstanceName, Instance> candidates = instances.stream()
                .filter(entry -> entry.state() == ListedInstance.State.LIVE)
                .map(ListedInstance::instance)
                .filter(instance -> current().find(instance.name()).isEmpty())
                .collect(ImmutableMap.toImmutableMap(Instance::name, instance -> instance, (_one, other) -> other));
        listed.set(candidates);
        candidates.keySet().forEach(name -> carryOut(state.contact(name)));
    }

    private void carryOut(ImmutableList<MembershipAction> actions) {
        incarnation = state.incarnation();
        publish(state.table().view());
        actions.forEach(this::carryOut);
    }

    private void carryOut(MembershipAction action) {
        if (action instanceof MembershipAction.Send send) {
            network.ifPresent(peers -> peers.send(send.receiver(), send.gossip()));
        } else if (action instanceof MembershipAction.Confirm confirm) {
            network.ifPresent(
                    peers -> peers.probe(confirm.peer()).thenAccept(alive -> confirmed(confirm.peer(), alive)));
        }
    }

    private void publish(Membership changed) {
        Membership before = view.getAndSet(changed);
        if (!before.equals(changed)) {
            LOGGER.infof("View changed. members=%d", changed.members().size());
            consumers.forEach(consumer -> consumer.accept(changed));
        }
    }
}
