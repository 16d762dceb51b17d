package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;

/**
 * Replays the decisions of a pool's owner for requests of many instances, and counts the connections that these open. An
 * engine processes prompts one after the other, and its streams at the same time.
 */
final class ConnectionReplay {

    /** A kind of request; arrivals are in requests a second in the whole pool. */
    record Kind(double rate, long promptTokens, long answerTokens, double targetMs) {}

    /** What a replay has measured; times are from arrival to the first part of the answer. */
    record Result(int requests, int opened, int late, double meanFirstMs) {

        double openedShare() {
            return (double) opened / requests;
        }
    }

    private static final double[] SPEEDS = {0.68, 0.68, 3.0};
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final double APPLICATION_MS = 60;
    private static final double ROUND_TRIP_MS = 1.8;
    private static final double NANOS_PER_MS = 1e6;
    private static final int CONNECTED_ENDPOINTS = 8;

    private final Random random;
    private final int instances;
    private final int slots;
    private final double tokensPerMs;
    private final double stepMs;
    private final double idleMs;
    private final boolean namesConnections;
    private final SlotQueue queue = new SlotQueue();
    private final Map<String, Double> speeds = new HashMap<>();
    private final Map<String, Double> promptsDoneMs = new HashMap<>();
    private final Map<InstanceName, LinkedHashMap<String, Deque<Double>>> idle = new HashMap<>();
    private final Map<SlotKey, Kind> kinds = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private int requests;
    private int opened;
    private int late;
    private double totalFirstMs;

    private record Event(double atMs, Runnable action) {}

    ConnectionReplay(
            long seed,
            int instances,
            int engines,
            int slots,
            double tokensPerMs,
            double stepMs,
            double idleMs,
            boolean namesConnections) {
        this.random = new Random(seed);
        this.instances = instances;
        this.slots = slots;
        this.tokensPerMs = tokensPerMs;
        this.stepMs = stepMs;
        this.idleMs = idleMs;
        this.namesConnections = namesConnections;
        ImmutableList<LiveEndpoint> endpoints =
                IntStream.range(0, engines).mapToObj(this::engine).collect(ImmutableList.toImmutableList());
        queue.replaceEndpoints(endpoints, 0);
    }

    private LiveEndpoint engine(int number) {
        String id = "engine-" + number;
        speeds.put(id, SPEEDS[number % SPEEDS.length]);
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", 1 + number);
        return new LiveEndpoint(id, new ServiceName("model"), address, DOMAIN, slots, false, 1);
    }

    /** Replays requests for some seconds, of which the first ten are not counted. */
    Result run(List<Kind> mix, double seconds) {
        mix.forEach(kind -> scheduleArrival(kind, 0, seconds * 1_000));
        for (Event next = events.poll(); next != null; next = events.poll()) {
            next.action().run();
        }
        return new Result(requests, opened, late, totalFirstMs / requests);
    }

    private void scheduleArrival(Kind kind, double afterMs, double endMs) {
        double atMs = afterMs - Math.log(1 - random.nextDouble()) * 1_000 / kind.rate();
        if (atMs < endMs) {
            events.add(new Event(atMs, () -> {
                arrive(kind, atMs);
                scheduleArrival(kind, atMs, endMs);
            }));
        }
    }

    private void arrive(Kind kind, double nowMs) {
        InstanceName instance = new InstanceName("front-" + random.nextInt(instances));
        SlotKey key = new SlotKey(instance, kinds.size());
        kinds.put(key, kind);
        long now = nanos(nowMs);
        long target = now + nanos(kind.targetMs());
        SlotRequest request = new SlotRequest(
                key,
                1,
                1,
                kinds.size(),
                kind.promptTokens(),
                kind.answerTokens(),
                false,
                0,
                0,
                now,
                target,
                now + nanos(1.25 * kind.targetMs()),
                now + nanos(4 * kind.targetMs()),
                now + nanos(10 * kind.targetMs()),
                ImmutableSet.of(),
                Optional.empty(),
                namesConnections ? connected(instance, nowMs) : ImmutableSet.of());
        apply(queue.offer(request, now), nowMs);
    }

    private void apply(ImmutableList<SlotDecision> decisions, double nowMs) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof SlotDecision.Granted grant) {
                run(grant, nowMs);
            }
        }
    }

    private void run(SlotDecision.Granted grant, double nowMs) {
        SlotKey key = grant.request().key();
        Kind kind = kinds.get(key);
        String engine = grant.endpoint().id();
        boolean isReused = takeConnection(key.instance(), engine, nowMs);
        double sentMs = nowMs + (isReused ? 0 : ROUND_TRIP_MS);
        double speed = speeds.get(engine);
        double firstMs = kind.promptTokens() == 0
                ? sentMs + APPLICATION_MS / speed
                : Math.max(sentMs, promptsDoneMs.getOrDefault(engine, 0.0))
                        + kind.promptTokens() / (tokensPerMs * speed)
                        + stepMs / speed;
        if (kind.promptTokens() > 0) {
            promptsDoneMs.put(engine, firstMs);
        }
        double endMs = firstMs + kind.answerTokens() * stepMs / speed;
        if (nowMs > 10_000) {
            requests++;
            opened += isReused ? 0 : 1;
            double elapsedMs = firstMs - grant.request().arrivedAtNanos() / NANOS_PER_MS;
            totalFirstMs += elapsedMs;
            late += elapsedMs > kind.targetMs() ? 1 : 0;
        }
        events.add(new Event(firstMs, () -> queue.recordAnswerStart(key, nanos(firstMs))));
        events.add(new Event(endMs, () -> {
            LinkedHashMap<String, Deque<Double>> kept =
                    idle.computeIfAbsent(key.instance(), _key -> new LinkedHashMap<>());
            Deque<Double> connections = Optional.ofNullable(kept.remove(engine)).orElseGet(ArrayDeque::new);
            connections.addLast(endMs);
            kept.put(engine, connections);
            apply(queue.recordEnd(key, AnswerOutcome.SOUND, nanos(endMs)), endMs);
        }));
    }

    private boolean takeConnection(InstanceName instance, String engine, double nowMs) {
        Deque<Double> kept =
                idle.getOrDefault(instance, new LinkedHashMap<>()).getOrDefault(engine, new ArrayDeque<>());
        if (kept.isEmpty() || nowMs - kept.peekLast() >= idleMs) {
            return false;
        }
        kept.removeLast();
        return true;
    }

    private ImmutableSet<String> connected(InstanceName instance, double nowMs) {
        List<String> usable = idle.getOrDefault(instance, new LinkedHashMap<>()).entrySet().stream()
                .filter(entry ->
                        !entry.getValue().isEmpty() && nowMs - entry.getValue().peekLast() < idleMs)
                .map(Map.Entry::getKey)
                .toList();
        return ImmutableSet.copyOf(usable.subList(Math.max(0, usable.size() - CONNECTED_ENDPOINTS), usable.size()));
    }

    private static long nanos(double milliseconds) {
        return Duration.ofNanos((long) (milliseconds * NANOS_PER_MS)).toNanos();
    }
}
