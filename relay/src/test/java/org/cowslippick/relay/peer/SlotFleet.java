package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.limit.QuotaTolerance;
import org.cowslippick.relay.limit.SharedQuotas;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.relay.state.RoutingState;
import org.cowslippick.relay.stream.OriginAnswer;
import org.cowslippick.scheduler.rollout.RolloutBounds;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Instances that share one pool of endpoints, each with callers that send a request in each period. */
final class SlotFleet {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final SlotPool POOL = new SlotPool(SERVICE, DOMAIN.region());

    private final ManualTimerService timer = new ManualTimerService();
    private final InMemoryNetwork network = new InMemoryNetwork();
    private final List<Node> nodes = new ArrayList<>();
    private final int instances;
    private final ImmutableList<LiveEndpoint> endpoints;
    private final Duration callerPeriod;
    private final BiConsumer<Node, SlotDecision.Granted> onGrant;
    private int refusals;
    private boolean isWithoutCallers;

    /** Starts the instances; {@code onGrant} must end each grant by {@link Node#answered}. */
    SlotFleet(
            int instances,
            ImmutableList<LiveEndpoint> endpoints,
            Duration callerPeriod,
            BiConsumer<Node, SlotDecision.Granted> onGrant) {
        this.instances = instances;
        this.endpoints = endpoints;
        this.callerPeriod = callerPeriod;
        this.onGrant = onGrant;
        IntStream.range(0, instances).forEach(number -> nodes.add(new Node(number)));
        nodes.forEach(Node::start);
    }

    ManualTimerService timer() {
        return timer;
    }

    InMemoryNetwork network() {
        return network;
    }

    /** Ends the requests of all callers. */
    void stopCallers() {
        isWithoutCallers = true;
    }

    /** The free slots of the pool, as an instance would grant them if it owned the pool. */
    int freeSlots(int number) {
        return nodes.get(number).localQueues.load(POOL).freeSlots();
    }

    int refusals() {
        return refusals;
    }

    /** The number of the instance that owns the pool. */
    int owner() {
        return IntStream.range(0, instances)
                .filter(number -> nodes.get(number).owners.owner(POOL).equals(name(number)))
                .findFirst()
                .orElseThrow();
    }

    /** Replaces the process of an instance by one that knows nothing of before. */
    void restart(int number) {
        nodes.get(number).isStopped = true;
        Node restarted = new Node(number);
        nodes.set(number, restarted);
        restarted.start();
    }

    /** Lets an instance take part in roll-outs; a restarted one has to be given its part again. */
    RolloutDeciders joinRollouts(int number, RolloutBounds bounds, RolloutStore store) {
        Node node = nodes.get(number);
        return new RolloutDeciders(
                node.known, node.membership, node.localQueues, timer, network.join(name(number)), bounds, store);
    }

    /** Lets an instance ask others for origins of streams, and answer them. */
    StreamOriginExchange joinStreams(int number, BiFunction<ServiceName, Long, OriginAnswer> ownAnswer) {
        Node node = nodes.get(number);
        return new StreamOriginExchange(
                name(number), node.membership, node.localQueues, timer, network.join(name(number)), ownAnswer);
    }

    /** Gives all instances a list of endpoints of the store. */
    void register(ImmutableList<LiveEndpoint> registered, long revision) {
        nodes.forEach(node -> node.directory.replace(registered, revision));
    }

    static InstanceName name(int number) {
        return new InstanceName("front-" + number);
    }

    static LiveEndpoint endpoint(int number) {
        return new LiveEndpoint(
                "engine-" + number, SERVICE, HostAndPort.fromParts("10.0.1." + number, 80), DOMAIN, 10, false, 1);
    }

    private static Instance instance(int number) {
        HostAndPort address = HostAndPort.fromParts("10.0.0." + number, 1);
        return new Instance(name(number), DOMAIN, address, address, 1);
    }

    /** One instance and its callers. */
    final class Node implements SlotListener {
        private final int number;
        private final FleetSlotBroker broker;
        private final LocalSlotQueues localQueues;
        private final EndpointDirectory directory;
        private final PoolOwners owners;
        private final FleetMembership membership;
        private final InstanceDirectory known;
        private boolean isStopped;

        private Node(int number) {
            this.number = number;
            known = new InstanceDirectory(instance(number), timer);
            known.setSelfServing(true);
            known.replace(
                    IntStream.range(0, instances)
                            .filter(other -> other != number)
                            .mapToObj(SlotFleet::instance)
                            .collect(ImmutableList.toImmutableList()),
                    1);
            localQueues = new LocalSlotQueues(timer);
            directory = new EndpointDirectory(timer, localQueues::replaceEndpoints);
            membership = new FleetMembership(
                    known,
                    new Incarnation(number),
                    timer,
                    new SharedQuotas(timer, new QuotaTolerance(Duration.ofSeconds(8), 0, 0)),
                    localQueues,
                    new StateSynchroniser(timer, known, new RoutingState(), directory, _document -> {}),
                    _readsStore -> {});
            directory.replace(endpoints, 1);
            broker = new FleetSlotBroker(known.self(), membership, localQueues, timer, network.join(name(number)));
            owners = new PoolOwners(name(number), membership::members);
        }

        int number() {
            return number;
        }

        FleetSlotBroker broker() {
            return broker;
        }

        boolean isStopped() {
            return isStopped;
        }

        /** Ends a grant with a complete answer. */
        void answered(SlotDecision.Granted grant) {
            if (!isStopped) {
                broker.responseStarted(grant.request().key());
                broker.release(grant.request().key(), AnswerOutcome.SOUND);
            }
        }

        /** Ends a grant by a connection that breaks. */
        void broken(SlotDecision.Granted grant) {
            if (!isStopped) {
                broker.release(grant.request().key(), AnswerOutcome.BROKEN);
            }
        }

        /** Ends a grant with a refusal of the endpoint. */
        void notRun(SlotDecision.Granted grant) {
            if (!isStopped) {
                broker.release(grant.request().key(), AnswerOutcome.NOT_RUN);
            }
        }

        private void start() {
            timer.scheduleWithFixedDelay(callerPeriod, this::request);
        }

        private void request() {
            if (isStopped || isWithoutCallers) {
                return;
            }
            long now = timer.nanoTime();
            long target = now + Duration.ofMillis(400).toNanos();
            broker.request(
                    SERVICE,
                    new SlotRequest(
                            broker.nextKey(),
                            0,
                            0,
                            now + number,
                            500,
                            50,
                            false,
                            0,
                            1,
                            now,
                            target,
                            target,
                            target,
                            now + Duration.ofSeconds(5).toNanos(),
                            ImmutableSet.of()),
                    this);
        }

        @Override
        public void granted(SlotDecision.Granted grant) {
            onGrant.accept(this, grant);
        }

        @Override
        public void refused(SlotDecision.Refused _refusal) {
            refusals++;
        }
    }
}
