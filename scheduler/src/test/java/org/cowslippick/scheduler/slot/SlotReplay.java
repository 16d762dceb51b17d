package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;

/**
 * Replays a load on a slot queue in simulated time. Callers return once after a refusal if they honour its delay, and
 * every slot serves a request in the time that the queue predicts at first.
 */
final class SlotReplay {

    static final long MILLISECOND = Duration.ofMillis(1).toNanos();

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final long NANOS_PER_PROMPT_TOKEN = 12_000;
    private static final long ANSWER_NANOS = 180 * MILLISECOND;
    private static final long TIMEOUT_NANOS = 12_000 * MILLISECOND;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final Map<SlotKey, Call> calls = new HashMap<>();
    private final List<Call> all = new ArrayList<>();
    private final ImmutableList<LiveEndpoint> endpoints;
    private SlotQueue queue = new SlotQueue();
    private long lastNumber;

    SlotReplay(int engines, int slots) {
        endpoints = IntStream.range(0, engines)
                .mapToObj(index -> new LiveEndpoint(
                        "engine-" + index,
                        new ServiceName("model"),
                        HostAndPort.fromParts("10.0.0." + index, 80),
                        new FailureDomain("oviedo", new Region("asturias")),
                        slots,
                        false,
                        1))
                .collect(ImmutableList.toImmutableList());
        queue.replaceEndpoints(endpoints, 0);
    }

    /** Adds callers at a constant rate. */
    void load(String organisation, int rank, long promptTokens, double perSecond, int fromMillis, int untilMillis) {
        double interval = 1_000 / perSecond;
        for (double at = fromMillis + interval / 2; at < untilMillis; at += interval) {
            Call call = new Call(organisation, rank, promptTokens, (long) (at * MILLISECOND), all.size());
            all.add(call);
            at(call.arrivedAtNanos, () -> offer(call, call.arrivedAtNanos));
        }
    }

    /** Replaces the queue by an empty one that learns what runs, as a change of owner does. */
    void changeOwner(int atMillis) {
        at(atMillis * MILLISECOND, () -> {
            long now = atMillis * MILLISECOND;
            queue = new SlotQueue();
            queue.replaceEndpoints(endpoints, now);
            calls.values().stream()
                    .filter(call -> call.grant.isPresent())
                    .forEach(call -> queue.adopt(
                            call.grant.get().request(),
                            call.grant.get().endpoint().id(),
                            now));
            calls.values().stream()
                    .filter(call -> call.grant.isEmpty())
                    .toList()
                    .forEach(call -> deliver(queue.offer(call.request, now), now));
        });
    }

    void run(int untilMillis) {
        IntStream.iterate(20, at -> at < untilMillis, at -> at + 20)
                .forEach(at -> at(at * MILLISECOND, () -> deliver(queue.advance(at * MILLISECOND), at * MILLISECOND)));
        while (!events.isEmpty()) {
            events.poll().action.run();
        }
    }

    /** The share of the matching callers that got an answer on time, counted from their first attempt. */
    double onTimeShare(Predicate<Call> filter) {
        return (double) count(filter.and(call -> call.isOnTime)) / count(filter);
    }

    /** The share of the matching callers that got an answer. */
    double answeredShare(Predicate<Call> filter) {
        return (double) count(filter.and(call -> call.isAnswered)) / count(filter);
    }

    long count(Predicate<Call> filter) {
        return all.stream().filter(filter).count();
    }

    private void at(long nanos, Runnable action) {
        lastNumber++;
        events.add(new Event(nanos, lastNumber, action));
    }

    private void offer(Call call, long nowNanos) {
        lastNumber++;
        call.request = call.request(new SlotKey(INSTANCE, lastNumber), nowNanos);
        call.grant = Optional.empty();
        calls.put(call.request.key(), call);
        deliver(queue.offer(call.request, nowNanos), nowNanos);
    }

    private void deliver(ImmutableList<SlotDecision> decisions, long nowNanos) {
        decisions.forEach(decision -> {
            Call call = calls.get(decision.request().key());
            if (decision instanceof SlotDecision.Granted grant) {
                granted(call, grant, nowNanos);
            } else if (decision instanceof SlotDecision.Refused refusal) {
                refused(call, refusal, nowNanos);
            }
        });
    }

    private void granted(Call call, SlotDecision.Granted grant, long nowNanos) {
        SlotKey key = grant.request().key();
        call.grant = Optional.of(grant);
        long first = nowNanos + (call.promptTokens + 600) * NANOS_PER_PROMPT_TOKEN;
        long end = first + ANSWER_NANOS;
        call.isAnswered = true;
        call.isOnTime = first - call.arrivedAtNanos <= Call.TARGET_NANOS;
        at(first, () -> queue.recordAnswerStart(key, first));
        at(end, () -> {
            calls.remove(key);
            deliver(queue.recordEnd(key, AnswerOutcome.SOUND, end), end);
        });
    }

    private void refused(Call call, SlotDecision.Refused refusal, long nowNanos) {
        calls.remove(refusal.request().key());
        call.refusals++;
        if (call.refusals == 1 && refusal.retryAfterNanos() <= (call.request.expiresAtNanos() - nowNanos) / 3) {
            long returnAt = nowNanos + refusal.retryAfterNanos();
            at(returnAt, () -> offer(call, returnAt));
        }
    }

    private record Event(long atNanos, long number, Runnable action) {}

    /** One caller with its attempts. */
    static final class Call {
        private static final long TARGET_NANOS = 500 * MILLISECOND;

        final String organisation;
        final int rank;
        final long promptTokens;
        final long arrivedAtNanos;
        private final long fingerprint;
        private SlotRequest request;
        private Optional<SlotDecision.Granted> grant = Optional.empty();
        int refusals;
        boolean isAnswered;
        boolean isOnTime;

        Call(String organisation, int rank, long promptTokens, long arrivedAtNanos, long fingerprint) {
            this.organisation = organisation;
            this.rank = rank;
            this.promptTokens = promptTokens;
            this.arrivedAtNanos = arrivedAtNanos;
            this.fingerprint = fingerprint;
        }

        private SlotRequest request(SlotKey key, long nowNanos) {
            return new SlotRequest(
                    key,
                    rank,
                    0,
                    fingerprint,
                    promptTokens,
                    45,
                    false,
                    0,
                    6,
                    nowNanos,
                    nowNanos + TARGET_NANOS,
                    nowNanos + 2 * TARGET_NANOS,
                    nowNanos + 4 * TARGET_NANOS,
                    arrivedAtNanos + TIMEOUT_NANOS,
                    ImmutableSet.of(),
                    Optional.of(organisation).filter(name -> !name.isEmpty()).map(OrganisationName::new),
                    ImmutableSet.of());
        }
    }
}
