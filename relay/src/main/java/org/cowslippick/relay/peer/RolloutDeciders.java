package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.scheduler.rollout.RolloutBounds;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.cowslippick.scheduler.rollout.RolloutStage;
import org.jboss.logging.Logger;

/**
 * The roll-outs of this instance: it applies the plans of others, and decides on those orders of the store that no
 * instance of a higher rendezvous weight claims by its plans.
 */
public final class RolloutDeciders {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.rollout");
    private static final Duration DECISION_PERIOD = Duration.ofMillis(100);
    private static final int MAXIMUM_LOGGED_ORDERS = 1_000;

    private final InstanceName self;
    private final InstanceDirectory instances;
    private final FleetMembership fleet;
    private final LocalSlotQueues localQueues;
    private final TimerService timer;
    private final PeerNetwork network;
    private final RolloutBounds bounds;
    private final RolloutStore store;
    private final RolloutParticipant participant;
    private final Map<ServiceName, StoredRollout> orders = new HashMap<>();
    private final Map<ServiceName, ActiveRollout> active = new HashMap<>();
    private final Map<ServiceName, FirstSeen> firstSeen = new HashMap<>();
    private final Set<String> loggedOrders = new HashSet<>();
    private boolean readsStore;

    /** Starts to apply plans; orders are decided on once {@link #setOrders} names them. */
    public RolloutDeciders(
            InstanceDirectory instances,
            FleetMembership fleet,
            LocalSlotQueues localQueues,
            TimerService timer,
            PeerNetwork network,
            RolloutBounds bounds,
            RolloutStore store) {
        this.self = instances.self().name();
        this.instances = instances;
        this.fleet = fleet;
        this.localQueues = localQueues;
        this.timer = timer;
        this.network = network;
        this.bounds = bounds;
        this.store = store;
        this.participant = new RolloutParticipant(localQueues, timer, network);
        network.subscribe(RolloutMessages.Plan.class, this::onPlan);
        network.subscribe(RolloutMessages.Evidence.class, this::onEvidence);
        timer.scheduleWithFixedDelay(DECISION_PERIOD, this::decideAll);
    }

    /** Takes the orders that the store holds; those that it no longer holds are withdrawn. */
    public void setOrders(ImmutableList<StoredRollout> current) {
        readsStore = true;
        orders.clear();
        current.forEach(stored -> orders.put(stored.order().service(), stored));
        current.forEach(stored -> stored.status().ifPresent(status -> Optional.ofNullable(
                        active.get(stored.order().service()))
                .filter(rollout -> rollout.isFor(stored.order()))
                .ifPresent(rollout -> rollout.adopt(status))));
        firstSeen.keySet().retainAll(orders.keySet());
        localQueues.setOrderedServices(ImmutableSet.copyOf(orders.keySet()));
    }

    /** Stops deciding, as this instance no longer reads the store; another one that does takes over. */
    public void stopReading() {
        readsStore = false;
    }

    /** The roll-outs that this instance decides on. */
    public long decidedCount() {
        return active.values().stream().filter(ActiveRollout::isDeciding).count();
    }

    private void onPlan(PeerIdentity sender, RolloutMessages.Plan message) {
        RolloutPlan plan = message.plan();
        active.computeIfPresent(plan.service(), (_service, rollout) -> {
            rollout.heard(sender.name(), plan);
            return rollout;
        });
        participant.received(sender.name(), plan);
    }

    private void onEvidence(PeerIdentity sender, RolloutMessages.Evidence message) {
        record(sender.name(), sender.incarnation().number(), message);
    }

    private void record(InstanceName sender, long incarnation, RolloutMessages.Evidence message) {
        Optional.ofNullable(active.get(message.service()))
                .ifPresent(rollout -> rollout.record(sender, incarnation, message));
    }

    private void decideAll() {
        if (!readsStore || !hearsMajority()) {
            active.clear();
            return;
        }
        active.values().removeIf(this::withdrawIfRemoved);
        ImmutableList.copyOf(orders.values()).stream().filter(this::isKnown).forEach(this::decide);
    }

    /** An instance that hears few others is the one that is cut off, and must not decide for them. */
    private boolean hearsMajority() {
        return 2 * fleet.memberCount() > instances.all().size();
    }

    /** Ends a roll-out whose order was removed or replaced by one for another target. */
    private boolean withdrawIfRemoved(ActiveRollout rollout) {
        StoredRollout stored = orders.get(rollout.service());
        if (stored == null) {
            rollout.withdraw();
            announce(rollout);
            return rollout.isWithdrawalAnnounced();
        }
        return !rollout.isFor(stored.order());
    }

    private void decide(StoredRollout stored) {
        ActiveRollout rollout = active.computeIfAbsent(stored.order().service(), _service -> start(stored));
        ImmutableSet<String> registered = instances.all().stream()
                .map(instance -> instance.name().value())
                .collect(ImmutableSet.toImmutableSet());
        int pools = (int) localQueues.pools().stream()
                .filter(pool -> pool.service().equals(rollout.service()))
                .count();
        rollout.decide(registered, pools);
        announce(rollout);
    }

    private ActiveRollout start(StoredRollout stored) {
        long startedAt =
                stored.status().map(RolloutStatus::startedAtMilliseconds).orElseGet(() -> firstSeenAt(stored));
        RolloutStage stage = stored.status().map(RolloutStatus::stage).orElse(RolloutStage.PROBE);
        ActiveRollout rollout = new ActiveRollout(self, stored.order(), bounds, startedAt, stage, timer, store);
        localQueues.plan(rollout.service()).ifPresent(rollout::resume);
        return rollout;
    }

    private long firstSeenAt(StoredRollout stored) {
        return firstSeen.get(stored.order().service()).atMilliseconds();
    }

    private void announce(ActiveRollout rollout) {
        rollout.planToSend().ifPresent(plan -> {
            instances.others().forEach(other -> network.send(other.name(), new RolloutMessages.Plan(plan)));
            localQueues.applyPlan(plan);
        });
        localQueues
                .plan(rollout.service())
                .filter(_plan -> rollout.isDeciding())
                .ifPresent(plan -> rollout.record(
                        self,
                        0,
                        new RolloutMessages.Evidence(
                                rollout.service(),
                                plan.order(),
                                plan.position(),
                                localQueues.versionTotals(rollout.service()))));
    }

    /** Whether the order names a service and a version that have endpoints; otherwise it is logged once. */
    private boolean isKnown(StoredRollout stored) {
        ServiceName service = stored.order().service();
        String target = stored.order().target();
        FirstSeen seen = firstSeen.get(service);
        if (seen == null || !seen.target().equals(target)) {
            firstSeen.put(service, new FirstSeen(target, timer.now().toEpochMilli()));
        }
        boolean isKnown = active.containsKey(service)
                || localQueues.pools().stream()
                        .filter(pool -> pool.service().equals(service))
                        .flatMap(pool -> localQueues.endpoints(pool).stream())
                        .anyMatch(endpoint -> endpoint.softwareVersion().equals(target));
        if (!isKnown
                && loggedOrders.size() < MAXIMUM_LOGGED_ORDERS
                && loggedOrders.add(service.value() + "/" + target)) {
            LOGGER.warn(LogLine.of("rollout-target-unknown")
                    .with("service", service.value())
                    .with("target", target));
        }
        return isKnown;
    }

    private record FirstSeen(String target, long atMilliseconds) {}
}
