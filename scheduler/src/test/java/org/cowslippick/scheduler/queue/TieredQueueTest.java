package org.cowslippick.scheduler.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.scheduler.pool.Samples;
import org.junit.jupiter.api.Test;

class TieredQueueTest {

    private static final int TIERS = 4;
    private static final int STARVATION_DISPATCH_INTERVAL = 8;
    private static final int DISPATCHES_PER_SECOND = 100;
    private static final long UNBOUNDED_NANOS = Long.MAX_VALUE;

    @Property(seed = "1", tries = 200)
    void decidesLikeTheReferenceQueue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TieredQueue queue = new TieredQueue(UNBOUNDED_NANOS, STARVATION_DISPATCH_INTERVAL);
        ReferenceQueue reference = new ReferenceQueue();
        IntStream.range(0, 300).forEach(number -> {
            if (random.nextInt(5) < 3) {
                QueuedRequest request = queued(random, number);
                queue.add(request, number);
                reference.add(request);
            } else {
                queue.next(number).ifPresent(request -> queue.take(request, number));
                reference.next().ifPresent(reference::take);
            }
            assertEquals(reference.next(), queue.next(number));
            assertEquals(reference.shedCandidate(), queue.shedCandidate());
        });
    }

    @Property(seed = "2", tries = 50)
    void servesAStarvedTierWithinTheDocumentedBound(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TieredQueue queue = new TieredQueue(Samples.SECOND, STARVATION_DISPATCH_INTERVAL);
        IntStream.range(0, 4_000).forEach(number -> queue.add(queued(random, number), 0));
        int[] dispatchesSince = new int[TIERS];
        IntStream.range(0, 900).forEach(step -> {
            long now = step * Samples.SECOND / DISPATCHES_PER_SECOND;
            QueuedRequest next = queue.next(now).orElseThrow();
            queue.take(next, now);
            IntStream.range(0, TIERS).forEach(rank -> dispatchesSince[rank]++);
            dispatchesSince[next.rank()] = 0;
            IntStream.range(0, TIERS)
                    .forEach(rank -> assertTrue(
                            dispatchesSince[rank] <= DISPATCHES_PER_SECOND + STARVATION_DISPATCH_INTERVAL * TIERS,
                            "tier " + rank + " waited for " + dispatchesSince[rank] + " dispatches"));
        });
    }

    @Test
    void sharesATierBetweenOrganisationsByTokens() {
        TieredQueue queue = new TieredQueue(UNBOUNDED_NANOS, STARVATION_DISPATCH_INTERVAL);
        IntStream.range(0, 100).forEach(number -> queue.add(queued(number, 0, "large", 100), 0));
        IntStream.range(100, 200).forEach(number -> queue.add(queued(number, 0, "small", 300), 0));
        long small = IntStream.range(0, 80)
                .mapToObj(_step -> queue.next(0).orElseThrow())
                .peek(request -> queue.take(request, 0))
                .filter(request -> request.request().organisation().value().equals("small"))
                .count();
        assertEquals(20, small, "a quarter of the requests are half of the tokens");
    }

    @Test
    void dispatchesOnTimeRequestsBeforeLateOnes() {
        TieredQueue queue = new TieredQueue(UNBOUNDED_NANOS, STARVATION_DISPATCH_INTERVAL);
        QueuedRequest late = new QueuedRequest(queued(0, 0, "o", 1).request(), 0, 10, UNBOUNDED_NANOS, 1);
        QueuedRequest onTime = new QueuedRequest(queued(1, 0, "o", 1).request(), 1, 100, UNBOUNDED_NANOS, 1);
        queue.add(late, 0);
        queue.add(onTime, 0);
        assertEquals(Optional.of(late), queue.next(5));
        assertEquals(Optional.of(onTime), queue.next(50));
        queue.take(onTime, 50);
        assertEquals(Optional.of(late), queue.next(50));
    }

    private static QueuedRequest queued(SplittableRandom random, int number) {
        return queued(number, random.nextInt(TIERS), "o" + random.nextInt(3), 1 + random.nextInt(500));
    }

    private static QueuedRequest queued(int number, int rank, String organisation, int promptTokens) {
        return new QueuedRequest(
                Samples.request(
                        "r" + number, rank, DispatchRule.IDEMPOTENT, 0, organisation, Samples.SECOND, promptTokens, 0),
                number,
                UNBOUNDED_NANOS - number,
                UNBOUNDED_NANOS,
                1);
    }
}
