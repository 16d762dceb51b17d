package org.cowslippick.relay.state;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.http.Addresses;
import org.cowslippick.fleet.http.JsonShape;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.store.ObjectStore;
import org.cowslippick.relay.store.ObjectStore.WriteOutcome;
import org.cowslippick.relay.store.ObjectStore.WriteResult;
import org.cowslippick.relay.store.StoreListener;
import org.cowslippick.relay.store.StoreObject;
import org.jboss.logging.Logger;

/** Registers this instance in the store, under a kind of the project's own, and reads the other instances. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class InstanceRegistry implements StoreListener {

    public static final String KIND = "cowslippick-instances";

    /** The fields of a registration that are read. */
    public static final JsonShape SHAPE =
            JsonShape.scalars("callers", "peers", "failureDomain", "region", "processors");

    private static final Logger LOGGER = Logger.getLogger("cowslippick.platform");
    private static final long MINIMUM_RETRY_DELAY_MILLISECONDS = 200;
    private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;

    private final ObjectStore store;
    private final TimerService timer;
    private final InstanceDirectory book;
    private boolean isDeregistering;

    public InstanceRegistry(ObjectStore store, TimerService timer, InstanceDirectory book) {
        this.store = store;
        this.timer = timer;
        this.book = book;
    }

    /** Registers this instance, replacing a registration that an earlier run left behind or that an older copy holds. */
    public void register() {
        if (isDeregistering) {
            return;
        }
        store.create(KIND, ownName(), ownRegistration()).thenAccept(result -> {
            if (result.outcome() == WriteOutcome.CONFLICT) {
                replace();
            } else if (!result.isApplied()) {
                retryLater(result);
            }
        });
    }

    public CompletableFuture<WriteResult> deregister() {
        isDeregistering = true;
        return store.remove(KIND, ownName());
    }

    @Override
    public void onSnapshot(ImmutableCollection<StoreObject> objects, StorePosition asOf) {
        book.replace(
                objects.stream()
                        .filter(object -> !isSelf(object))
                        .flatMap(object -> decode(object).stream())
                        .collect(ImmutableList.toImmutableList()),
                asOf);
        boolean isListed = objects.stream().anyMatch(this::isSelf);
        if (!isListed) {
            register();
        }
    }

    private boolean isSelf(StoreObject object) {
        return object.name().equals(ownName());
    }

    private void replace() {
        store.replace(KIND, ownName(), ownRegistration(), OptionalLong.empty()).thenAccept(result -> {
            if (!result.isApplied()) {
                retryLater(result);
            }
        });
    }

    private void retryLater(WriteResult result) {
        LOGGER.warn(LogLine.of("registration-failed").with("cause", result.cause()));
        timer.schedule(
                Duration.ofMillis(ThreadLocalRandom.current()
                        .nextLong(MINIMUM_RETRY_DELAY_MILLISECONDS, MAXIMUM_RETRY_DELAY_MILLISECONDS)),
                this::register);
    }

    private String ownName() {
        return book.self().name().value();
    }

    private ObjectNode ownRegistration() {
        Instance self = book.self();
        return JsonNodeFactory.instance
                .objectNode()
                .put("callers", self.callerAddress().toString())
                .put("peers", self.peerAddress().toString())
                .put("failureDomain", self.failureDomain().name())
                .put("region", self.region().name())
                .put("processors", self.processors());
    }

    private static Optional<Instance> decode(StoreObject object) {
        try {
            return Stream.of(object.spec())
                    .map(spec -> new Instance(
                            new InstanceName(object.name()),
                            new FailureDomain(
                                    spec.path("failureDomain").asText(),
                                    new Region(spec.path("region").asText())),
                            Addresses.parse(spec.path("callers").asText()),
                            Addresses.parse(spec.path("peers").asText()),
                            spec.path("processors").asDouble(1)))
                    .findFirst();
        } catch (IllegalArgumentException malformed) {
            LOGGER.warn(LogLine.of("instance-entry-unreadable")
                    .with("name", object.name())
                    .with("cause", String.valueOf(malformed.getMessage())));
            return Optional.empty();
        }
    }
}
