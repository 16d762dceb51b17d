package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.TimerService.Subscription;

/**
 * The platform's object API: versioned objects with conditional updates and watches, and an eventually consistent list
 * of instances. docs/INTERFACES.md specifies the HTTP calls. Futures never complete exceptionally.
 */
public interface Platform {

    CompletableFuture<Either<PlatformFault, StoredObject>> get(ObjectKey key);

    /** Reads all objects of a kind whose names start with the prefix. */
    CompletableFuture<Either<PlatformFault, ObjectList>> list(String kind, String namePrefix);

    /** Creates an object; {@link PlatformFault#CONFLICT} if it exists. */
    CompletableFuture<Either<PlatformFault, StoredObject>> create(ObjectKey key, String value);

    /** Replaces an object if it still has the version; {@link PlatformFault#CONFLICT} otherwise. */
    CompletableFuture<Either<PlatformFault, StoredObject>> update(ObjectKey key, long version, String value);

    /** Deletes an object if it still has the version; {@link PlatformFault#CONFLICT} otherwise. */
    CompletableFuture<Either<PlatformFault, StoredObject>> delete(ObjectKey key, long version);

    /** Streams all changes of a kind after the version, until {@link WatchListener#ended} is called. */
    Subscription watch(String kind, long afterVersion, WatchListener listener);

    /** Reads the list of instances, which lags behind their actual state. */
    CompletableFuture<Either<PlatformFault, ImmutableList<ListedInstance>>> instances();
}
