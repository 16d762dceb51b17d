package org.cowslippick.fleet.settings;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.ObjectList;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;
import org.cowslippick.fleet.platform.WatchListener;

/** Watches the root in the platform; a watch that ended is restarted by the next call of {@link #start()}. */
final class SettingsWatch implements WatchListener {

    private final Platform platform;
    private final SettingsObjects objects;
    private final Supplier<SettingsSnapshot> current;
    private final Consumer<SettingsSnapshot> onLoaded;
    private Optional<Subscription> watch = Optional.empty();
    private boolean isStarting;

    SettingsWatch(Platform platform, Supplier<SettingsSnapshot> current, Consumer<SettingsSnapshot> onLoaded) {
        this.platform = platform;
        this.objects = new SettingsObjects(platform);
        this.current = current;
        this.onLoaded = onLoaded;
    }

    // No caller waits for the list, which starts the watch when it completes.
    @SuppressWarnings("FutureReturnValueIgnored")
    void start() {
        if (beginStart()) {
            platform.list(SettingsObjects.ROOT_KIND, "").thenAccept(this::watchFrom);
        }
    }

    synchronized void stop() {
        watch.ifPresent(Subscription::cancel);
        watch = Optional.empty();
    }

    @Override
    public void changed(StoredObject object) {
        load(object);
    }

    @Override
    public void deleted(ObjectKey _key, long _version) {}

    @Override
    public synchronized void ended(PlatformFault _reason) {
        watch = Optional.empty();
        isStarting = false;
    }

    private synchronized boolean beginStart() {
        if (isStarting || watch.isPresent()) {
            return false;
        }
        isStarting = true;
        return true;
    }

    private void watchFrom(Either<PlatformFault, ObjectList> found) {
        found.peek(list -> {
                    list.objects().forEach(this::load);
                    watchAfter(list.version());
                })
                .peekLeft(this::ended);
    }

    private synchronized void watchAfter(long version) {
        Subscription started = platform.watch(SettingsObjects.ROOT_KIND, version, this);
        if (isStarting) {
            watch = Optional.of(started);
            isStarting = false;
        }
    }

    // No caller waits for the load, which passes the snapshot to the consumer.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void load(StoredObject object) {
        SettingsRoot.read(object.value())
                .map(root -> SettingsLoader.loadChunks(objects, root, current.get()))
                .orElseGet(() -> CompletableFuture.completedFuture(Either.left(PlatformFault.UNAVAILABLE)))
                .thenAccept(result -> result.peek(onLoaded));
    }
}
