package org.cowslippick.fleet.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.cowslippick.core.time.ManualTimerService;
import org.junit.jupiter.api.Test;

final class RateLimitedPlatformTest {

    private static final ObjectKey KEY = new ObjectKey("kind", "name");

    private final ManualTimerService timer = new ManualTimerService();
    private final FakePlatform fakePlatform = new FakePlatform();

    @Test
    void spreadsCallsAtTheRateLimit() {
        RateLimitedPlatform platform = rateLimited(1);
        ImmutableList<CompletableFuture<Either<PlatformFault, StoredObject>>> answers =
                IntStream.range(0, 30).mapToObj(_call -> platform.get(KEY)).collect(ImmutableList.toImmutableList());
        assertEquals(6, fakePlatform.callCount());
        timer.advance(Duration.ofMillis(500));
        assertEquals(11, fakePlatform.callCount());
        timer.advance(Duration.ofSeconds(5));
        assertEquals(16, fakePlatform.callCount());
        assertEquals(
                14,
                answers.stream()
                        .filter(answer -> answer.join().equals(Either.left(PlatformFault.UNAVAILABLE)))
                        .count());
    }

    @Test
    void anOutageCausesFewCallsAndItsEndIsDetectedByOneProbe() {
        RateLimitedPlatform platform = rateLimited(1);
        fakePlatform.setUnavailable(true);
        IntStream.range(0, 6_000).forEach(_tick -> {
            timer.advance(Duration.ofMillis(100));
            platform.get(KEY).join();
        });
        assertTrue(fakePlatform.callCount() < 120, "calls in ten minutes: " + fakePlatform.callCount());
        timer.advance(Duration.ofSeconds(10));
        fakePlatform.holdCalls();
        int before = fakePlatform.callCount();
        IntStream.range(0, 20).forEach(_call -> assertTrue(platform.get(KEY) != null));
        assertEquals(before + 1, fakePlatform.callCount());
        fakePlatform.setUnavailable(false);
        fakePlatform.releaseCalls();
        timer.advance(Duration.ofSeconds(1));
        assertEquals(Either.left(PlatformFault.NOT_FOUND), platform.get(KEY).join());
    }

    @Test
    void aSilentWatchDoesNotServeAsTheProbe() {
        RateLimitedPlatform platform = rateLimited(1);
        fakePlatform.setUnavailable(true);
        platform.get(KEY).join();
        fakePlatform.setUnavailable(false);
        timer.advance(Duration.ofSeconds(10));
        platform.watch("kind", 0, new EndCounter());
        assertEquals(Either.left(PlatformFault.NOT_FOUND), platform.get(KEY).join());
    }

    @Test
    void aRefusedWatchEndsAfterTheBackoff() {
        RateLimitedPlatform platform = rateLimited(1);
        fakePlatform.setUnavailable(true);
        platform.get(KEY).join();
        EndCounter listener = new EndCounter();
        platform.watch("kind", 0, listener);
        assertEquals(0, listener.ends);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(1, listener.ends);
        assertEquals(1, fakePlatform.callCount());
    }

    @Test
    void processesProbeAtDifferentTimes() {
        fakePlatform.setUnavailable(true);
        long distinct = IntStream.range(0, 50)
                .mapToLong(seed -> {
                    CallLimiter limiter = new CallLimiter(10, 5, 0, new SplittableRandom(seed));
                    IntStream.range(0, 8)
                            .forEach(second -> limiter.recordFailure(
                                    Duration.ofSeconds(30L * second).toNanos()));
                    return limiter.remainingBackoff(Duration.ofSeconds(210).toNanos())
                            .toMillis();
                })
                .distinct()
                .count();
        assertTrue(distinct > 40, "distinct probe times: " + distinct);
    }

    private RateLimitedPlatform rateLimited(long seed) {
        return new RateLimitedPlatform(fakePlatform, timer, 10, 5, new SplittableRandom(seed));
    }

    private static final class EndCounter implements WatchListener {
        private int ends;

        @Override
        public void changed(StoredObject _object) {}

        @Override
        public void deleted(ObjectKey _key, long _version) {}

        @Override
        public void ended(PlatformFault _reason) {
            ends++;
        }
    }
}
