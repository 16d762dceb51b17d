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
 * Holds the calls of one process to a budget, a watch counting as one call. After a failure further calls are refused
 * at once until a single probe is answered, so that a platform that comes back is not met by all waiting calls.
 */
public final class RateLimitedPlatform implements Platform {

    private final Platform platform;
    private final TimerService timer;
    private final CallLimiter gate;

    /** Takes the budget; the random numbers spread the probes of many processes. */
    public RateLimitedPlatform(
            Platform platform, TimerService timer, double callsPerSecond, int burst, RandomGenerator random) {
        this.platform = platform;
        this.timer = timer;
        this.gate = new CallLimiter(callsPerSecond, burst, timer.nanoTime(), random);
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

    /** A refused watch ends when the gate may open again, so that a listener that starts anew at once does no harm. */
    @Override
    public Subscription watch(String kind, long afterVersion, WatchListener listener) {
        long now = timer.nanoTime();
        OptionalLong wait = gate.admitWatch(now);
        if (wait.isEmpty()) {
            return timer.after(gate.closedFor(now), () -> listener.ended(PlatformFault.UNAVAILABLE));
        }
        return new DelayedWatch(
                () -> platform.watch(kind, afterVersion, new Observed(listener)), Duration.ofNanos(wait.getAsLong()));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ImmutableList<ListedInstance>>> instances() {
        return call(platform::instances);
    }

    private <R> CompletableFuture<Either<PlatformFault, R>> call(
            Supplier<CompletableFuture<Either<PlatformFault, R>>> send) {
        OptionalLong wait = gate.admit(timer.nanoTime());
        if (wait.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(PlatformFault.UNAVAILABLE));
        }
        return delay(wait.getAsLong()).thenCompose(_sent -> send.get()).thenApply(this::observe);
    }

    private CompletableFuture<Void> delay(long nanos) {
        if (nanos == 0) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timer.after(Duration.ofNanos(nanos), () -> elapsed.complete(null));
        return elapsed;
    }

    private <R> Either<PlatformFault, R> observe(Either<PlatformFault, R> result) {
        if (result.isLeft() && unanswered(result.getLeft())) {
            gate.failed(timer.nanoTime());
        } else {
            gate.answered(timer.nanoTime());
        }
        return result;
    }

    private static boolean unanswered(PlatformFault fault) {
        return fault == PlatformFault.UNAVAILABLE || fault == PlatformFault.ANSWER_LOST;
    }

    /** A watch that starts when the budget allows. */
    private final class DelayedWatch implements Subscription {
        private final Supplier<Subscription> start;
        private Subscription current;
        private boolean cancelled;

        DelayedWatch(Supplier<Subscription> start, Duration wait) {
            this.start = start;
            this.current = () -> {};
            if (wait.isZero()) {
                begin();
            } else {
                current = timer.after(wait, this::begin);
            }
        }

        @Override
        public synchronized void cancel() {
            cancelled = true;
            current.cancel();
        }

        private synchronized void begin() {
            if (!cancelled) {
                current = start.get();
            }
        }
    }

    /** Notes that the platform answers while a watch brings changes, and that it does not when the watch is refused. */
    private final class Observed implements WatchListener {
        private final WatchListener listener;

        Observed(WatchListener listener) {
            this.listener = listener;
        }

        @Override
        public void changed(StoredObject object) {
            gate.answered(timer.nanoTime());
            listener.changed(object);
        }

        @Override
        public void deleted(ObjectKey key, long version) {
            gate.answered(timer.nanoTime());
            listener.deleted(key, version);
        }

        @Override
        public void ended(PlatformFault reason) {
            if (reason == PlatformFault.UNAVAILABLE) {
                gate.failed(timer.nanoTime());
            } else {
                gate.answered(timer.nanoTime());
            }
            listener.ended(reason);
        }
    }
}
