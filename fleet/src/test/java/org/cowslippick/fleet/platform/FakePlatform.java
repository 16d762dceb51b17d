package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService.Subscription;

/** An in-memory platform that executes calls at once, or holds them until a test releases them. */
public final class FakePlatform implements Platform {

    private static final int HISTORY_LENGTH = 100;

    private final InMemoryObjectStore store = new InMemoryObjectStore(HISTORY_LENGTH);
    private final List<Runnable> heldCalls = new ArrayList<>();
    private volatile ImmutableList<ListedInstance> instances = ImmutableList.of();
    private boolean isUnavailable;
    private boolean isHolding;
    private int responsesToLose;
    private int callCount;

    public InMemoryObjectStore store() {
        return store;
    }

    /** While the platform is unavailable, all calls fail without effect and watches end. */
    public synchronized void setUnavailable(boolean isUnavailable) {
        this.isUnavailable = isUnavailable;
        if (isUnavailable) {
            store.endWatches(PlatformFault.UNAVAILABLE);
        }
    }

    /** Executes the next writes, but loses their responses. */
    public synchronized void loseResponses(int count) {
        responsesToLose = count;
    }

    /** Holds calls until {@link #releaseNextCall()} or {@link #releaseCalls()}. */
    public synchronized void holdCalls() {
        isHolding = true;
    }

    /** Executes all held calls in order, and later calls at once. */
    public void releaseCalls() {
        stopHolding().forEach(Runnable::run);
    }

    /** Executes the first held call only. */
    public void releaseNextCall() {
        Runnable first;
        synchronized (this) {
            first = heldCalls.remove(0);
        }
        first.run();
    }

    /** Returns the number of calls received; each watch counts as one. */
    public synchronized int callCount() {
        return callCount;
    }

    public void endWatchesAndDiscardHistory() {
        store.discardHistory();
        store.endWatches(PlatformFault.UNAVAILABLE);
    }

    public void setInstances(ImmutableList<ListedInstance> instances) {
        this.instances = instances;
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> get(ObjectKey key) {
        return call(() -> store.get(key), false);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ObjectList>> list(String kind, String namePrefix) {
        return call(() -> Either.right(store.list(kind, namePrefix)), false);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> create(ObjectKey key, String value) {
        return call(() -> store.create(key, value), true);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> update(ObjectKey key, long version, String value) {
        return call(() -> store.update(key, version, value), true);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> delete(ObjectKey key, long version) {
        return call(() -> store.delete(key, version), true);
    }

    @Override
    public synchronized Subscription watch(String kind, long afterVersion, WatchListener listener) {
        callCount++;
        if (isUnavailable) {
            listener.ended(PlatformFault.UNAVAILABLE);
            return () -> {};
        }
        return store.watch(kind, afterVersion, listener);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ImmutableList<ListedInstance>>> instances() {
        return call(() -> Either.right(instances), false);
    }

    private <R> CompletableFuture<Either<PlatformFault, R>> call(
            Supplier<Either<PlatformFault, R>> effect, boolean isWrite) {
        CompletableFuture<Either<PlatformFault, R>> result = new CompletableFuture<>();
        if (holdIfHolding(() -> result.complete(execute(effect, isWrite)))) {
            return result;
        }
        result.complete(execute(effect, isWrite));
        return result;
    }

    private synchronized boolean holdIfHolding(Runnable call) {
        callCount++;
        if (isHolding) {
            heldCalls.add(call);
        }
        return isHolding;
    }

    private synchronized ImmutableList<Runnable> stopHolding() {
        isHolding = false;
        ImmutableList<Runnable> calls = ImmutableList.copyOf(heldCalls);
        heldCalls.clear();
        return calls;
    }

    private synchronized <R> Either<PlatformFault, R> execute(
            Supplier<Either<PlatformFault, R>> effect, boolean isWrite) {
        if (isUnavailable) {
            return Either.left(PlatformFault.UNAVAILABLE);
        }
        Either<PlatformFault, R> result = effect.get();
        if (isWrite && responsesToLose > 0) {
            responsesToLose--;
            return Either.left(PlatformFault.ANSWER_LOST);
        }
        return result;
    }
}
