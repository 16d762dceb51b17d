package org.cowslippick.scheduler.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;

/** One roll-out with two queues, delayed messages and a version that behaves as the trial says. */
final class RolloutTrial {

    static final double SHARE = 0.1;
    static final double SLACK = 50;
    static final long SECOND = 1_000_000_000L;
    private static final ServiceName SERVICE = new ServiceName("model");
    private static final int QUEUES = 2;
    private static final int ROUTES = 3;
    private static final int ENDPOINTS = 6;
    private static final long STEP = 10_000_000L;

    /** How the target answers. */
    interface Behaviour {
        /** The probability of a failure. */
        default double failures(int route, double second, int running) {
            return 0;
        }

        /** The factor of all times. */
        default double slowness(int route, double second, int running) {
            return 1;
        }
    }

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final Random random;
    private final double rate;
    private final Behaviour behaviour;
    private final Duration duration;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<VersionGate> gates = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final ImmutableList<LiveEndpoint> endpoints;
    private final Map<String, Long> linkFreeAt = new HashMap<>();
    private RolloutDecision decision;
    private double generalSlowness = 1;
    private double burst = 1;
    private long now;
    private long number;
    private long bad;
    private long fiftiethBadAt = Long.MAX_VALUE;
    private long lateExposure;
    long requests;
    long exposure;
    long oldRunning;
    long oldRunningAtCompletion = -1;
    long badAtRollback;
    double endedAtSecond = -1;
    int lossesOfDecider;

    RolloutTrial(long seed, double rate, Duration duration, Behaviour behaviour) {
        this.random = new Random(seed);
        this.rate = rate;
        this.behaviour = behaviour;
        this.duration = duration;
        this.endpoints = IntStream.range(0, 2 * ENDPOINTS)
                .mapToObj(index -> new LiveEndpoint(
                        "e-" + index,
                        SERVICE,
                        HostAndPort.fromParts("10.0.0." + index, 80),
                        new FailureDomain("oviedo", new Region("asturias")),
                        100,
                        false,
                        1,
                        index,
                        index < ENDPOINTS ? "1" : "2"))
                .collect(ImmutableList.toImmutableList());
        this.decision = newDecision(RolloutStage.PROBE, 0);
        IntStream.range(0, QUEUES).forEach(_queue -> {
            VersionGate gate = new VersionGate();
            gate.enable(0);
            gate.setEndpoints(endpoints, 0);
            gates.add(gate);
        });
    }

    private RolloutDecision newDecision(RolloutStage stage, long position) {
        return new RolloutDecision(
                new RolloutOrder(SERVICE, "2", duration), new RolloutBounds(SHARE, SLACK), 7, 0, stage, position);
    }

    RolloutStage stage() {
        return decision.stage();
    }

    /** The requests that the target got later than five seconds after its 50th bad response. */
    long lateExposure() {
        return lateExposure;
    }

    @Override
    public String toString() {
        return decision.stage() + " for " + decision.reason() + " at " + endedAtSecond + " s, " + exposure + " of "
                + requests + " requests";
    }

    boolean isWithinBound() {
        return exposure <= SHARE * requests + SLACK;
    }

    /** Makes all versions slower from a moment on. */
    RolloutTrial slowEverythingFrom(double second, double factor) {
        at((long) (second * SECOND), () -> generalSlowness = factor);
        return this;
    }

    /** Multiplies the rate of requests from a moment on. */
    RolloutTrial burstFrom(double second, double factor) {
        at((long) (second * SECOND), () -> burst = factor);
        return this;
    }

    /** Replaces the decider when the stage is reached, by one that knows the stored stage only. */
    RolloutTrial loseDeciderAt(RolloutStage stage, Duration absence) {
        at(now, () -> checkLoss(stage, absence));
        return this;
    }

    private void checkLoss(RolloutStage stage, Duration absence) {
        if (decision.stage() != stage) {
            if (!decision.stage().isFinal()) {
                at(now + STEP, () -> checkLoss(stage, absence));
            }
            return;
        }
        lossesOfDecider++;
        RolloutDecision successor = newDecision(stage, decision.position() + 1_000);
        decision = null;
        at(now + absence.toNanos(), () -> decision = successor);
    }

    RolloutTrial run() {
        at(0, this::arrive);
        at(0, this::decide);
        IntStream.range(0, QUEUES).forEach(queue -> at(0, () -> report(queue)));
        while (now < duration.toNanos() && !events.isEmpty()) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, number++, action));
    }

    private void decide() {
        if (decision != null) {
            decision.setMembers(ImmutableSet.of("0", "1"), QUEUES);
            decision.advance(now);
            if (decision.isReadyToComplete(now)) {
                oldRunningAtCompletion = oldRunning;
                decision.recordCompleted();
            }
            if (decision.stage().isFinal() && endedAtSecond < 0) {
                endedAtSecond = (double) now / SECOND;
                badAtRollback = bad;
            }
            RolloutPlan plan = decision.plan();
            IntStream.range(0, QUEUES).forEach(queue -> send("plan" + queue, () -> receive(queue, plan)));
        }
        at(now + 100_000_000L, this::decide);
    }

    private void receive(int queue, RolloutPlan plan) {
        boolean isNews = gates.get(queue).plan().filter(plan::equals).isEmpty();
        gates.get(queue).apply(plan, now);
        if (isNews) {
            sendEvidence(queue);
        }
    }

    private void report(int queue) {
        sendEvidence(queue);
        at(now + 250_000_000L, () -> report(queue));
    }

    private void sendEvidence(int queue) {
        RolloutTotals totals = gates.get(queue).totals();
        long applied = gates.get(queue).plan().map(RolloutPlan::position).orElse(-1L);
        send("evidence" + queue, () -> {
            if (decision != null) {
                decision.record(String.valueOf(queue), 1, totals, applied, now);
            }
        });
    }

    /** Delivers in order, mostly at once and now and then up to a second late. */
    private void send(String link, Runnable delivery) {
        long delay = random.nextInt(20) == 0 ? random.nextInt(1_000) * 1_000_000L : 2_000_000L;
        long deliverAt = Math.max(linkFreeAt.getOrDefault(link, 0L), now + delay);
        linkFreeAt.put(link, deliverAt);
        at(deliverAt, delivery);
    }

    private void arrive() {
        at(now + (long) (-Math.log(1 - random.nextDouble()) / (burst * rate) * SECOND), this::arrive);
        int queue = random.nextInt(QUEUES);
        int route = random.nextInt(ROUTES);
        VersionGate gate = gates.get(queue);
        gate.recordRequest(route);
        requests++;
        VersionGate.Choice choice = gate.choose(route, now);
        List<LiveEndpoint> usable = endpoints.stream()
                .filter(endpoint -> !gate.isClosed(endpoint, now) && gate.isAllowed(endpoint, choice, true))
                .toList();
        if (!usable.isEmpty()) {
            start(gate, usable.get(random.nextInt(usable.size())), route);
        }
    }

    private void start(VersionGate gate, LiveEndpoint endpoint, int route) {
        boolean isTarget = endpoint.softwareVersion().equals("2");
        Object key = new Object();
        gate.recordStart(key, endpoint, route, 1, now);
        double second = (double) now / SECOND;
        int others = running.merge(endpoint.id(), 1, Integer::sum);
        double factor = generalSlowness * (isTarget ? behaviour.slowness(route, second, others) : 1);
        boolean fails = random.nextDouble() < (isTarget ? behaviour.failures(route, second, others) : 0.005);
        if (isTarget) {
            exposure++;
            lateExposure += now - fiftiethBadAt > 5 * SECOND ? 1 : 0;
        } else {
            oldRunning++;
        }
        long first = (long) (factor * (0.02 + 0.06 * random.nextDouble()) * SECOND);
        long answer = (long) (factor * (0.2 + 1.0 * random.nextDouble()) * SECOND);
        if (!fails) {
            at(now + first, () -> gate.recordAnswerStart(key, now));
        }
        at(now + first + (fails ? 0 : answer), () -> end(gate, key, endpoint, isTarget, fails, fails || factor > 2));
    }

    private void end(
            VersionGate gate, Object key, LiveEndpoint endpoint, boolean isTarget, boolean fails, boolean isBad) {
        running.merge(endpoint.id(), -1, Integer::sum);
        gate.recordEnd(key, fails, true, 50, now);
        if (!isTarget) {
            oldRunning--;
        } else if (isBad) {
            bad++;
            fiftiethBadAt = bad == 50 ? now : fiftiethBadAt;
        }
    }
}
