package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

/**
 * Replays a burst on engines of speeds 0.68, 0.68 and 3.0: long and short streams whose prompts an engine reads one after
 * the other, and whose answers take time in proportion to its speed.
 */
class PlacementReplayTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final double[] SPEEDS = {0.68, 0.68, 3.0};
    private static final int ENGINES = 63;
    private static final int SLOTS = 7;
    private static final double PROMPT_TOKENS_PER_NANO = 48.2e-6;
    private static final double NANOS_PER_ANSWER_TOKEN = 6_000_000;
    private static final int TOKENS_PER_EVENT = 8;
    private static final int STEP_TOKENS = 2048;
    private static final long PAUSE_NANOS = Duration.ofMillis(400).toNanos();
    private static final long NETWORK_NANOS = Duration.ofMillis(4).toNanos();
    private static final long TARGET_NANOS = Duration.ofMillis(1_219).toNanos();
    private static final long DURATION_NANOS = Duration.ofSeconds(28).toNanos();
    private static final long BURST_NANOS = Duration.ofSeconds(8).toNanos();

    private final SlotQueue queue = new SlotQueue();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
    private final Map<SlotKey, Stream> streams = new HashMap<>();
    private final Map<String, Long> readUntilNanos = new HashMap<>();
    private final Random random = new Random(4711);
    private int longOnTime;
    private int shortOnTime;
    private int longs;

    /**
     * Half of the requests are long streams, and in the burst all slots are taken. Without waiting for endpoints that read
     * several prompts, less than 92 in 100 long streams were on time, as these prompts paused the running streams.
     */
    @Test
    void longStreamsAreOnTimeInABurst() {
        queue.replaceEndpoints(
                IntStream.range(0, ENGINES)
                        .mapToObj(PlacementReplayTest::endpoint)
                        .collect(ImmutableList.toImmutableList()),
                0);
        long now = 0;
        for (long number = 0; now < DURATION_NANOS; number++) {
            now += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / (now < BURST_NANOS ? 240 : 400));
            run(now);
            handle(queue.offer(request(number, random.nextBoolean(), now), now), now);
        }
        run(Long.MAX_VALUE);
        double share = (double) longOnTime / longs;
        assertTrue(share >= 0.93, longOnTime + " of " + longs + " long streams, " + shortOnTime + " short ones");
    }

    private void run(long untilNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
            Event event = events.poll();
            if (event.isEnd()) {
                end(event);
                handle(queue.recordEnd(event.key(), AnswerOutcome.SOUND, event.atNanos()), event.atNanos());
            } else {
                queue.recordAnswerStart(event.key(), event.atNanos());
            }
            if (events.isEmpty() || events.peek().atNanos() - event.atNanos() > 0) {
                handle(queue.advance(event.atNanos()), event.atNanos());
            }
        }
    }

    private void handle(ImmutableList<SlotDecision> decisions, long now) {
        decisions.forEach(decision -> {
            boolean isLong = decision.request().promptTokens() > 1_000;
            longs += isLong && isInBurst(decision.request()) ? 1 : 0;
            if (decision instanceof SlotDecision.Granted grant) {
                start(grant, isLong, now);
            }
        });
    }

    private void start(SlotDecision.Granted grant, boolean isLong, long now) {
        SlotRequest request = grant.request();
        String id = grant.endpoint().id();
        double speed = SPEEDS[Integer.parseInt(id.substring(id.indexOf('-') + 1)) % SPEEDS.length];
        long read = Math.max(now, readUntilNanos.getOrDefault(id, 0L))
                + (long) (request.promptTokens() / PROMPT_TOKENS_PER_NANO / speed);
        readUntilNanos.put(id, read);
        long first = read + NETWORK_NANOS;
        events.add(new Event(first, request.key(), false));
        events.add(new Event(
                first + (long) (request.answerTokens() * NANOS_PER_ANSWER_TOKEN / speed), request.key(), true));
        streams.put(
                request.key(),
                new Stream(id, isLong && isInBurst(request), first, first - request.onTimeUntilNanos() <= 0));
        long pause = Math.min(read - now, (long) (TOKENS_PER_EVENT * STEP_TOKENS / PROMPT_TOKENS_PER_NANO / speed))
                + (long) (TOKENS_PER_EVENT * NANOS_PER_ANSWER_TOKEN / speed);
        if (pause > PAUSE_NANOS) {
            streams.replaceAll((_key, stream) ->
                    stream.endpoint().equals(id) && stream.firstNanos() < read ? stream.late() : stream);
        }
    }

    private void end(Event event) {
        Stream stream = streams.remove(event.key());
        longOnTime += stream.isLong() && stream.isOnTime() ? 1 : 0;
        shortOnTime += !stream.isLong() && stream.isOnTime() ? 1 : 0;
    }

    private static boolean isInBurst(SlotRequest request) {
        return request.arrivedAtNanos() - BURST_NANOS >= 0;
    }

    private record Stream(String endpoint, boolean isLong, long firstNanos, boolean isOnTime) {
        Stream late() {
            return new Stream(endpoint, isLong, firstNanos, false);
        }
    }

    private static LiveEndpoint endpoint(int index) {
        return new LiveEndpoint(
                "engine-" + index,
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.0." + index, 80),
                DOMAIN,
                SLOTS,
                false,
                1);
    }

    private static SlotRequest request(long number, boolean isLong, long now) {
        long target = now + TARGET_NANOS;
        long queueDeadline = now + 2 * TARGET_NANOS;
        return new SlotRequest(
                new SlotKey(INSTANCE, number),
                0,
                isLong ? 0 : 1,
                number,
                isLong ? 6_670 : 688,
                isLong ? 384 : 288,
                false,
                Duration.ofMillis(400).toNanos(),
                8,
                now,
                target,
                queueDeadline,
                queueDeadline,
                now + Duration.ofSeconds(20).toNanos(),
                ImmutableSet.of());
    }

    private record Event(long atNanos, SlotKey key, boolean isEnd) {}
}
