package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.junit.jupiter.api.Test;

/** Instances share the rate limit that one of three endpoints names, with the pool's owner present, absent or new. */
class EndpointRateLimitFleetTest {

    private static final int INSTANCES = 7;
    private static final double REQUESTS_PER_SECOND = 2;
    private static final double HIGH_REQUESTS_PER_SECOND = 10;
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** Longer than an instance waits for a decision. */
    private static final Duration LATE_DECISION = Duration.ofMillis(200);

    private static final Duration CLIENT_PERIOD = Duration.ofMillis(50);
    private static final Duration ANSWER_TIME = Duration.ofMillis(300);
    private static final ServiceName SERVICE = new ServiceName("model");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final SlotPool POOL = new SlotPool(SERVICE, DOMAIN.region());
    private static final LiveEndpoint LIMITED = endpoint(0);
    private static final ImmutableList<LiveEndpoint> ENDPOINTS = ImmutableList.of(LIMITED, endpoint(1), endpoint(2));

    private final ManualTimerService timer = new ManualTimerService();
    private final InMemoryNetwork network = new InMemoryNetwork();
    private final List<Long> arrivals = new ArrayList<>();
    private final Set<Integer> excused = new HashSet<>();
    private final List<Node> nodes = new ArrayList<>();
    private Optional<Double> named = Optional.of(REQUESTS_PER_SECOND);
    private int otherArrivals;

    EndpointRateLimitFleetTest() {
        IntStream.range(0, INSTANCES).forEach(number -> nodes.add(new Node(number)));
        nodes.forEach(Node::start);
        timer.advance(Duration.ofSeconds(1));
        arrivals.clear();
    }

    @Test
    void limitHoldsOverAllInstancesAndIsUsed() {
        timer.advance(Duration.ofSeconds(20));
        assertLimitHolds();
        assertTrue(arrivals.size() >= 0.8 * 20 * REQUESTS_PER_SECOND, arrivals.size() + " requests");
        assertTrue(otherArrivals > 15 * 20, otherArrivals + " requests at the other endpoints");
    }

    @Test
    void limitHoldsWhileTheOwnerIsCutOff() {
        timer.advance(Duration.ofSeconds(6));
        int owner = owner();
        excused.add(owner);
        network.isolate(name(owner));
        timer.advance(Duration.ofSeconds(5));
        network.reconnect(name(owner));
        timer.advance(Duration.ofSeconds(6));
        assertLimitHolds();
    }

    @Test
    void limitHoldsWhileTheOwnerAnswersOnlyNowAndThen() {
        timer.advance(Duration.ofSeconds(6));
        int owner = owner();
        for (int time = 0; time < 20; time++) {
            network.isolate(name(owner));
            timer.advance(Duration.ofMillis(200));
            network.reconnect(name(owner));
            timer.advance(Duration.ofMillis(300));
        }
        assertLimitHolds();
    }

    /** The owner's decisions reach two instances too late, so that these ask another one. */
    @Test
    void limitHoldsWhileSomeInstancesBypassTheOwner() {
        named = Optional.of(HIGH_REQUESTS_PER_SECOND);
        timer.advance(Duration.ofSeconds(6));
        int owner = owner();
        IntStream.range(0, INSTANCES).filter(number -> number != owner).limit(2).forEach(number -> {
            network.delay(name(owner), name(number), SlotMessages.Granted.class, this::runLate);
            network.delay(name(owner), name(number), SlotMessages.Queued.class, this::runLate);
        });
        arrivals.clear();
        timer.advance(Duration.ofSeconds(10));
        assertLimitHolds(maximumInWindow(HIGH_REQUESTS_PER_SECOND));
    }

    @Test
    void limitHoldsAfterTheOwnerWasRestarted() {
        timer.advance(Duration.ofSeconds(6));
        int owner = owner();
        nodes.get(owner).isStopped = true;
        Node restarted = new Node(owner);
        nodes.set(owner, restarted);
        restarted.start();
        timer.advance(Duration.ofSeconds(6));
        assertLimitHolds();
    }

    @Test
    void limitEndsOnAllInstancesWhenTheEndpointStopsNamingIt() {
        timer.advance(Duration.ofSeconds(6));
        named = Optional.empty();
        timer.advance(Duration.ofSeconds(2));
        arrivals.clear();
        timer.advance(Duration.ofSeconds(4));
        assertTrue(
                arrivals.size() > 2 * maximumInWindow(REQUESTS_PER_SECOND),
                arrivals.size() + " requests in four seconds");
    }

    @Test
    void limitBelowOneASecondHoldsToo() {
        named = Optional.of(0.25);
        timer.advance(Duration.ofSeconds(4));
        arrivals.clear();
        timer.advance(Duration.ofSeconds(20));
        assertTrue(arrivals.size() <= 6, arrivals.size() + " requests in twenty seconds");
        assertTrue(arrivals.size() >= 3, arrivals.size() + " requests in twenty seconds");
    }

    private void runLate(Runnable delivery) {
        timer.schedule(LATE_DECISION, delivery);
    }

    private void assertLimitHolds() {
        assertLimitHolds(maximumInWindow(REQUESTS_PER_SECOND));
    }

    /** One and a half times what the limit allows in the window, and five more. */
    private static int maximumInWindow(double requestsPerSecond) {
        return (int) (1.5 * requestsPerSecond * WINDOW.toSeconds() + 5);
    }

    private void assertLimitHolds(int maximum) {
        long contact = Duration.ofSeconds(4).toNanos() + Duration.ofSeconds(1).toNanos();
        for (long start : arrivals) {
            long count = arrivals.stream()
                    .filter(at -> at >= start && at < start + WINDOW.toNanos())
                    .count();
            assertTrue(start < contact || count <= maximum, count + " requests in 4 s from " + start);
        }
    }

    private int owner() {
        return IntStream.range(0, INSTANCES)
                .filter(number -> nodes.get(number).owners.owner(POOL).equals(name(number)))
                .findFirst()
                .orElseThrow();
    }

    private static InstanceName name(int number) {
        return new InstanceName("front-" + number);
    }

    private static LiveEndpoint endpoint(int number) {
        return new LiveEndpoint(
                "engine-" + number, SERVICE, HostAndPort.fromParts("10.0.1." + number, 80), DOMAIN, 10, false, 1);
    }

    private static Instance instance(int number) {
        HostAndPort address = HostAndPort.fromParts("10.0.0." + number, 1);
        return new Instance(name(number), DOMAIN, address, address, 1);
    }

    /** An instance whose callers send a request in each period. */
    private final class Node implements SlotListener {
        private final int number;
        private final FleetSlotBroker broker;
        private final LocalSlotQueues localQueues;
        private final PoolOwners owners;
        private boolean isStopped;

        Node(int number) {
            this.number = number;
            InstanceDirectory instances = new InstanceDirectory(instance(number));
            instances.setSelfServing(true);
            instances.replace(
                    IntStream.range(0, INSTANCES)
                            .filter(other -> other != number)
                            .mapToObj(EndpointRateLimitFleetTest::instance)
                            .collect(ImmutableList.toImmutableList()),
                    1);
            localQueues = new LocalSlotQueues(timer);
            EndpointDirectory endpoints = new EndpointDirectory(timer, localQueues::replaceEndpoints);
            FleetMembership fleet = new FleetMembership(
                    instances,
                    new Incarnation(number),
                    timer,
                    new SharedQuotas(timer, new QuotaTolerance(Duration.ofSeconds(8), 0, 0)),
                    localQueues,
                    new StateSynchroniser(timer, instances, new RoutingState(), endpoints, _document -> {}),
                    _readsStore -> {});
            endpoints.replace(ENDPOINTS, 1);
            broker = new FleetSlotBroker(instances.self(), fleet, localQueues, timer, network.join(name(number)));
            owners = new PoolOwners(name(number), fleet::members);
        }

        void start() {
            timer.scheduleWithFixedDelay(CLIENT_PERIOD, this::request);
        }

        private void request() {
            if (isStopped) {
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
            boolean isLimited = grant.endpoint().equals(LIMITED);
            if (isLimited && !excused.contains(number)) {
                arrivals.add(timer.nanoTime());
            }
            otherArrivals += isLimited ? 0 : 1;
            timer.schedule(ANSWER_TIME, () -> answered(grant, isLimited ? named : Optional.empty()));
        }

        private void answered(SlotDecision.Granted grant, Optional<Double> limit) {
            if (isStopped) {
                return;
            }
            boolean wasLimited =
                    grant.rateLimit().filter(EndpointRateLimit::isLimited).isPresent();
            if (limit.isPresent() || wasLimited) {
                broker.reportRateLimit(grant.endpoint(), limit);
            }
            broker.responseStarted(grant.request().key());
            broker.release(grant.request().key(), AnswerOutcome.SOUND);
        }

        @Override
        public void refused(SlotDecision.Refused _refusal) {}
    }
}
