package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cowslippick.core.time.TimerService.Subscription;

/**
 * An in-memory store of versioned objects with conditional updates and a bounded change history, for tests and
 * simulated platforms.
 */
public final class InMemoryObjectStore {

    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    private final int historyLength;
    private final Map<ObjectKey, StoredObject> objects = new TreeMap<>(ObjectKey.ORDER);
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private final CopyOnWriteArrayList<Watcher> watchers = new CopyOnWriteArrayList<>();
    private long version;
    private long discardedVersion;

    /**
     * Creates an empty store; {@code historyLength} changes are retained for watches that start at an older version.
     */
    public InMemoryObjectStore(int historyLength) {
        this.historyLength = historyLength;
    }

    public synchronized Either<PlatformFault, StoredObject> get(ObjectKey key) {
        StoredObject found = objects.get(key);
        return found == null ? Either.left(PlatformFault.NOT_FOUND) : Either.right(found);
    }

    /** Reads all objects of a kind whose names start with the prefix. */
    public synchronized ObjectList list(String kind, String namePrefix) {
        return new ObjectList(
                version,
                objects.values().stream()
                        .filter(object -> object.key().kind().equals(kind))
                        .filter(object -> object.key().name().startsWith(namePrefix))
                        .collect(ImmutableList.toImmutableList()));
    }

    public synchronized Either<PlatformFault, StoredObject> create(ObjectKey key, String value) {
        if (isTooLarge(value)) {
            return Either.left(PlatformFault.TOO_LARGE);
        }
        return objects.containsKey(key) ? Either.left(PlatformFault.CONFLICT) : Either.right(store(key, value));
    }

    /** Replaces an object if it has the expected version. */
    public synchronized Either<PlatformFault, StoredObject> update(ObjectKey key, long expected, String value) {
        if (isTooLarge(value)) {
            return Either.left(PlatformFault.TOO_LARGE);
        }
        return get(key).filterOrElse(found -> found.version() == expected, _found -> PlatformFault.CONFLICT)
                .map(_found -> store(key, value));
    }

    /** Deletes an object if it has the expected version, and returns it with the version of the deletion. */
    public synchronized Either<PlatformFault, StoredObject> delete(ObjectKey key, long expected) {
        return get(key).filterOrElse(found -> found.version() == expected, _found -> PlatformFault.CONFLICT)
                .map(this::remove);
    }

    /** Whether the history contains all changes after the version. */
    public synchronized boolean coversHistoryAfter(long afterVersion) {
        return afterVersion >= discardedVersion;
    }

    /** Streams the changes of a kind after the version; the listener is called in the order of versions. */
    public synchronized Subscription watch(String kind, long afterVersion, WatchListener listener) {
        if (!coversHistoryAfter(afterVersion)) {
            listener.ended(PlatformFault.VERSION_TOO_OLD);
            return () -> {};
        }
        Watcher watcher = new Watcher(kind, listener);
        history.stream().filter(change -> change.version() > afterVersion).forEach(watcher::deliver);
        watchers.add(watcher);
        return () -> watchers.remove(watcher);
    }

    public synchronized void endWatches(PlatformFault reason) {
        ImmutableList<Watcher> ended = ImmutableList.copyOf(watchers);
        watchers.clear();
        ended.forEach(watcher -> watcher.listener().ended(reason));
    }

    /** Discards the history, so that a watch that starts before the current version is refused. */
    public synchronized void discardHistory() {
        history.clear();
        discardedVersion = version;
    }

    private StoredObject store(ObjectKey key, String value) {
        version++;
        StoredObject stored = new StoredObject(key, version, value);
        objects.put(key, stored);
        publish(new Change(key, version, Optional.of(stored)));
        return stored;
    }

    private StoredObject remove(StoredObject found) {
        version++;
        objects.remove(found.key());
        publish(new Change(found.key(), version, Optional.empty()));
        return new StoredObject(found.key(), version, found.value());
    }

    private void publish(Change change) {
        history.addLast(change);
        if (history.size() > historyLength) {
            discardedVersion = history.removeFirst().version();
        }
        watchers.forEach(watcher -> watcher.deliver(change));
    }

    private static boolean isTooLarge(String value) {
        return value.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_VALUE_BYTES;
    }

    private record Change(ObjectKey key, long version, Optional<StoredObject> stored) {}

    private record Watcher(String kind, WatchListener listener) {
        void deliver(Change change) {
            if (change.key().kind().equals(kind)) {
                change.stored()
                        .ifPresentOrElse(listener::changed, () -> listener.deleted(change.key(), change.version()));
            }
        }
    }
}
