package org.cowslippick.relay.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Streams;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.store.ObjectStore;
import org.cowslippick.relay.store.ObjectStore.WriteOutcome;
import org.cowslippick.relay.store.ObjectStore.WriteResult;
import org.cowslippick.relay.store.StoreObject;
import org.jboss.logging.Logger;

/** Keeps the registered versions in the store, in one object for each service. */
public final class VersionObjects implements VersionStore {

    public static final String KIND = "cowslippick-versions";

    private static final Logger LOGGER = Logger.getLogger("cowslippick.versions");
    private static final String VERSIONS = "versions";

    private final ObjectStore store;
    private final Set<String> unreadableNames = new HashSet<>();

    public VersionObjects(ObjectStore store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<Optional<ImmutableList<RegisteredVersions>>> load() {
        return store.list(KIND).thenApply(listed -> listed.map(this::decode));
    }

    @Override
    public CompletableFuture<Result> write(RegisteredVersions versions) {
        return send(versions).thenApply(result -> {
            if (result.outcome() == WriteOutcome.UNKNOWN || result.outcome() == WriteOutcome.MISSING) {
                LOGGER.warn(LogLine.of("versions-not-written").with("cause", result.cause()));
            }
            return new Result(
                    result.isApplied(), result.present().map(object -> decodeOrReplace(object, versions.service())));
        });
    }

    private CompletableFuture<WriteResult> send(RegisteredVersions versions) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        ObjectNode times = spec.putObject(VERSIONS);
        versions.lastPresent().forEach(times::put);
        String name = versions.service().value();
        return versions.revision() == 0
                ? store.create(KIND, name, spec)
                : store.replace(KIND, name, spec, OptionalLong.of(versions.revision()));
    }

    private ImmutableList<RegisteredVersions> decode(ImmutableList<StoreObject> objects) {
        return objects.stream()
                .flatMap(object -> decode(object).stream())
                .collect(ImmutableMap.toImmutableMap(
                        RegisteredVersions::service, entry -> entry, (_first, second) -> second))
                .values()
                .asList();
    }

    /** A malformed object counts as an entry without versions, so that the next write replaces it. */
    private RegisteredVersions decodeOrReplace(StoreObject object, ServiceName service) {
        return decode(object)
                .filter(entry -> entry.service().equals(service))
                .orElseGet(() -> new RegisteredVersions(service, object.revision(), ImmutableMap.of()));
    }

    private Optional<RegisteredVersions> decode(StoreObject object) {
        JsonNode times = object.spec().path(VERSIONS);
        try {
            if (!times.isObject()
                    || Streams.stream(times).anyMatch(time -> !time.canConvertToLong() || !time.isIntegralNumber())) {
                throw new IllegalArgumentException("\"" + VERSIONS + "\" is no object of Unix milliseconds: " + times);
            }
            return Optional.of(new RegisteredVersions(
                    new ServiceName(object.name()),
                    object.revision(),
                    times.properties().stream()
                            .collect(ImmutableMap.toImmutableMap(
                                    Map.Entry::getKey, time -> time.getValue().asLong()))));
        } catch (IllegalArgumentException malformed) {
            if (unreadableNames.add(object.name())) {
                LOGGER.warn(LogLine.of("versions-entry-unreadable")
                        .with("name", object.name())
                        .with("cause", String.valueOf(malformed.getMessage())));
            }
            return Optional.empty();
        }
    }
}
