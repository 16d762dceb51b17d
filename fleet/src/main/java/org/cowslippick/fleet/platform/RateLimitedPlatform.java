package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;

/**
 * Limits the rate of the calls of one process; a watch counts as one call. After a failure calls are refused until a
 * single probe is answered, so that a recovering platform does not receive all waiting calls at once.
 */
public final class RateLimitedPlatform implements Platform {

    private final Platform platform;
    private final TimerService timer;
    private final CallLimiter limiter;

    /** Creates the platform with a rate limit; {@code random} spreads the probes of many processes over time. */
    public RateLimitedPlatform(
            Platform platform, TimerService timer, double callsPerSecond, int burst, RandomGenerator random) {
        this.platform = platform;
        this.timer = timer;
        this.limiter = new CallLimiter(callsPerSecond, burst, timer.nanoTime(), random);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> get(ObjectKey key) {
        return call(() -> platform.get(key));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ObjectList>> list(String kind, String namePrefix) {
        return call(() -> platform.list(kind, namePrefix));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> create(ObjectKey key, String value) {
        return call(() -> platform.create(key, value));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> update(ObjectKey key, long version, String value) {
        return call(() -> platform.update(key, version, value));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> delete(ObjectKey key, long version) {
        return call(() -> platform.delete(key, version));
    }

    /** A refused watch ends after the backoff, so that a listener may restart it at once without a busy loop. */
    @Override
    public Subscription watch(String kind, long afterVersion, WatchListener listener) {
        long now = timer.nanoTime();
        OptionalLong wait = limiter.admitWatch(now);
        if (wait.isEmpty()) {
            return timer.schedule(limiter.remainingBackoff(now), () -> listener.ended(PlatformFault.UNAVAILABLE));
        }
        return new DelayedWatch(
                () -> platform.watch(kind, afterVersion, new ObservingListener(listener)),
                Duration.ofNanos(wait.getAsLong()));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ImmutableList<ListedInstance>>> instances() {
        return call(platform::instances);
    }

    private <R> CompletableFuture<Either<PlatformFault, R>> call(
            Supplier<CompletableFuture<Either<PlatformFault, R>>> send) {
        OptionalLong wait = limiter.admit(timer.nanoTime());
        if (wait.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(PlatformFault.UNAVAILABLE));
        }
        return afterDelay(wait.getAsLong()).thenCompose(_sent -> send.get()).thenApply(this::observe);
    }

    private CompletableFuture<Void> afterDelay(long nanos) {
        if (nanos == 0) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timer.schedule(Duration.ofNanos(nanos), () -> elapsed.complete(null));
        return elapsed;
    }

    private <R> Either<PlatformFault, R> observe(Either<PlatformFault, R> result) {
        if (result.isLeft() && isWithoutResponse(result.getLeft())) {
            limiter.recordFailure(timer.nanoTime());
        } else {
            limiter.recordResponse(timer.nanoTime());
        }
        return result;
    }

    private static boolean isWithoutResponse(PlatformFault fault) {
        return fault == PlatformFault.UNAVAILABLE || fault == PlatformFault.ANSWER_LOST;
    }

    /** A watch that starts when the rate limit allows it. */
    private final class DelayedWatch implements Subscription {
        private final Supplier<Subscription> starter;
        private Subscription current;
        private boolean isCancelled;

        DelayedWatch(Supplier<Subscription> starter, Duration wait) {
            this.starter = starter;
            this.current = () -> {};
            if (wait.isZero()) {
                start();
            } else {
                current = timer.schedule(wait, this::start);
            }
        }

        @Override
        public synchronized void cancel() {
            isCancelled = true;
            current.cancel();
        }

        private synchronized void start() {
            if (!isCancelled) {
                current = starter.get();
            }
        }
    }

    /** Records a response for each change that a watch delivers, and a failure if the watch ends as unavailable. */
    private final class ObservingListener implements WatchListener {
        private final WatchListener listener;

        ObservingListener(WatchListener listener) {
            this.listener = listener;
        }

        @Override
        public void changed(StoredObject object) {
            limiter.recordResponse(timer.nanoTime());
            listener.changed(object);
        }

        @Override
        public void deleted(ObjectKey key, long version) {
            limiter.recordResponse(timer.nanoTime());
            listener.deleted(key, version);
        }

        @Override
        public void ended(PlatformFault reason) {
            if (reason == PlatformFault.UNAVAILABLE) {
                limiter.recordFailure(timer.nanoTime());
            } else {
                limiter.recordResponse(timer.nanoTime());
            }
            listener.ended(reason);
        }
    }
}
