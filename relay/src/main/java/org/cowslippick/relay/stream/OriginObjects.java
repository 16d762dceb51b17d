package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.store.ObjectStore;
import org.cowslippick.relay.store.ObjectStore.WriteOutcome;
import org.cowslippick.relay.store.ObjectStore.WriteResult;
import org.cowslippick.relay.store.StoreObject;
import org.jboss.logging.Logger;

/** Keeps segments of origins in the store, as one object each under a kind of the project's own. */
public final class OriginObjects implements OriginStore {

    public static final String KIND = "cowslippick-streams";

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");

    private final ObjectStore store;
    private final OriginSegmentCodec codec = new OriginSegmentCodec();

    public OriginObjects(ObjectStore store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<Boolean> save(OriginSegment segment) {
        String name = OriginSegmentCodec.name(segment);
        return store.replace(KIND, name, OriginSegmentCodec.encode(segment), OptionalLong.empty())
                .thenCompose(result -> result.outcome() == WriteOutcome.MISSING
                        ? store.create(KIND, name, OriginSegmentCodec.encode(segment))
                        : CompletableFuture.completedFuture(result))
                .thenApply(OriginObjects::isSaved);
    }

    private static boolean isSaved(WriteResult result) {
        if (!result.isApplied()) {
            LOGGER.warn(LogLine.of("stream-origins-not-saved").with("cause", result.cause()));
        }
        return result.isApplied();
    }

    @Override
    public CompletableFuture<Optional<ImmutableList<OriginSegment>>> load() {
        return store.list(KIND).thenApply(listed -> listed.map(this::decode));
    }

    private ImmutableList<OriginSegment> decode(ImmutableList<StoreObject> objects) {
        return objects.stream()
                .flatMap(object -> codec.decode(object.name(), object.spec()).stream())
                .collect(ImmutableList.toImmutableList());
    }
}
