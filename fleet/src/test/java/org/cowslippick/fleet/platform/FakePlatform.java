package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService.Subscription;

/** A platform in memory that answers at once, or holds calls until a test lets them go. */
public final class FakePlatform implements Platform {

    private static final int HISTORY_LENGTH = 100;

    private final InMemoryObjectStore memory = new InMemoryObjectStore(HISTORY_LENGTH);
    private final List<Runnable> held = new ArrayList<>();
    private volatile ImmutableList<ListedInstance> listed = ImmutableList.of();
    private boolean down;
    private boolean holding;
    private int answersToLose;
    private int calls;

    public InMemoryObjectStore memory() {
        return memory;
    }

    /** While down, nothing is carried out and watches end. */
    public synchronized void down(boolean isDown) {
        down = isDown;
        if (isDown) {
            memory.endWatches(PlatformFault.UNAVAILABLE);
        }
    }

    /** Carries out the next writes, but loses their answers. */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /** While holding, calls are carried out only by {@link #release()}. */
    public synchronized void hold() {
        holding = true;
    }

    /** Carries out all held calls in order, and later ones at once. */
    public void release() {
        takeHeld().forEach(Runnable::run);
    }

    /** Carries out the first held call only. */
    public void releaseNext() {
        Runnable first;
        synchronized (this) {
            first = held.remove(0);
        }
        first.run();
    }

    /** How many calls came in, each watch counting as one. */
    public synchronized int calls() {
        return calls;
    }

    /** Ends all watches and forgets the history. */
    public void watchGap() {
        memory.forgetHistory();
        memory.endWatches(PlatformFault.UNAVAILABLE);
    }

    public void listInstances(ImmutableList<ListedInstance> instances) {
        listed = instances;
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> get(ObjectKey key) {
        return call(() -> memory.get(key), false);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ObjectList>> list(String kind, String namePrefix) {
        return call(() -> Either.right(memory.list(kind, namePrefix)), false);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> create(ObjectKey key, String value) {
        return call(() -> memory.create(key, value), true);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> update(ObjectKey key, long version, String value) {
        return call(() -> memory.update(key, version, value), true);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> delete(ObjectKey key, long version) {
        return call(() -> memory.delete(key, version), true);
    }

    @Override
    public synchronized Subscription watch(String kind, long afterVersion, WatchListener listener) {
        calls++;
        if (down) {
            listener.ended(PlatformFault.UNAVAILABLE);
            return () -> {};
        }
        return memory.watch(kind, afterVersion, listener);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ImmutableList<ListedInstance>>> instances() {
        return call(() -> Either.right(listed), false);
    }

    private <R> CompletableFuture<Either<PlatformFault, R>> call(
            Supplier<Either<PlatformFault, R>> effect, boolean write) {
        CompletableFuture<Either<PlatformFault, R>> result = new CompletableFuture<>();
        if (holds(() -> result.complete(carryOut(effect, write)))) {
            return result;
        }
        result.complete(carryOut(effect, write));
        return result;
    }

    private synchronized boolean holds(Runnable call) {
        calls++;
        if (holding) {
            held.add(call);
        }
        return holding;
    }

    private synchronized ImmutableList<Runnable> takeHeld() {
        holding = false;
        ImmutableList<Runnable> taken = ImmutableList.copyOf(held);
        held.clear();
        return taken;
    }

    private synchronized <R> Either<PlatformFault, R> carryOut(
            Supplier<Either<PlatformFault, R>> effect, boolean write) {
        if (down) {
            return Either.left(PlatformFault.UNAVAILABLE);
        }
        Either<PlatformFault, R> result = effect.get();
        if (write && answersToLose > 0) {
            answersToLose--;
            return Either.left(PlatformFault.ANSWER_LOST);
        }
        return result;
    }
}
