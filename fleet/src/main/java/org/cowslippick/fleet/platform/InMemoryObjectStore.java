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

/** Versioned objects in memory, with conditional updates and a bounded history for watches; it serves stand-ins. */
public final class InMemoryObjectStore {

    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    private final int historyLength;
    private final Map<ObjectKey, StoredObject> objects = new TreeMap<>(ObjectKey.ORDER);
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private final CopyOnWriteArrayList<Watcher> watchers = new CopyOnWriteArrayList<>();
    private long version;
    private long forgottenVersion;

    /** Creates an empty memory that remembers so many changes for watches that start late. */
    public InMemoryObjectStore(int historyLength) {
        this.historyLength = historyLength;
    }

    /** Reads one object. */
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

    /** Creates an object. */
    public synchronized Either<PlatformFault, StoredObject> create(ObjectKey key, String value) {
        if (tooLarge(value)) {
            return Either.left(PlatformFault.TOO_LARGE);
        }
        return objects.containsKey(key) ? Either.left(PlatformFault.CONFLICT) : Either.right(store(key, value));
    }

    /** Replaces an object of the version. */
    public synchronized Either<PlatformFault, StoredObject> update(ObjectKey key, long expected, String value) {
        if (tooLarge(value)) {
            return Either.left(PlatformFault.TOO_LARGE);
        }
        return get(key).filterOrElse(found -> found.version() == expected, _found -> PlatformFault.CONFLICT)
                .map(_found -> store(key, value));
    }

    /** Deletes an object of the version and returns it with the version of the deletion. */
    public synchronized Either<PlatformFault, StoredObject> delete(ObjectKey key, long expected) {
        return get(key).filterOrElse(found -> found.version() == expected, _found -> PlatformFault.CONFLICT)
                .map(this::remove);
    }

    /** Whether a watch that starts after the version would miss nothing. */
    public synchronized boolean remembers(long afterVersion) {
        return afterVersion >= forgottenVersion;
    }

    /** Streams the changes of a kind after the version; the listener is called in the order of versions. */
    public synchronized Subscription watch(String kind, long afterVersion, WatchListener listener) {
        if (!remembers(afterVersion)) {
            listener.ended(PlatformFault.VERSION_TOO_OLD);
            return () -> {};
        }
        Watcher watcher = new Watcher(kind, listener);
        history.stream().filter(change -> change.version() > afterVersion).forEach(watcher::tell);
        watchers.add(watcher);
        return () -> watchers.remove(watcher);
    }

    /** Ends every watch with the reason. */
    public synchronized void endWatches(PlatformFault reason) {
        ImmutableList<Watcher> ended = ImmutableList.copyOf(watchers);
        watchers.clear();
        ended.forEach(watcher -> watcher.listener().ended(reason));
    }

    /** Forgets all history, so that a watch that starts before the present version is refused. */
    public synchronized void forgetHistory() {
        history.clear();
        forgottenVersion = version;
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
            forgottenVersion = history.removeFirst().version();
        }
        watchers.forEach(watcher -> watcher.tell(change));
    }

    private static boolean tooLarge(String value) {
        return value.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_VALUE_BYTES;
    }

    private record Change(ObjectKey key, long version, Optional<StoredObject> stored) {}

    private record Watcher(String kind, WatchListener listener) {
        void tell(Change change) {
            if (change.key().kind().equals(kind)) {
                change.stored()
                        .ifPresentOrElse(listener::changed, () -> listener.deleted(change.key(), change.version()));
            }
        }
    }
}
