package org.cowslippick.relay.rollout;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.peer.RolloutStatus;
import org.cowslippick.relay.peer.RolloutStore;
import org.cowslippick.relay.peer.StoredRollout;
import org.jboss.logging.Logger;

/**
 * Writes the status of roll-outs, conditionally on the revision of the order's object. After a conflict it writes again
 * only if the object still orders the same target and its status is not final.
 */
public final class RolloutStatusStore implements RolloutStore {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.rollout");

    private final RolloutObjects store;
    private final RolloutDecoder decoder = new RolloutDecoder();
    private final Map<ServiceName, RolloutObject> objects = new HashMap<>();

    public RolloutStatusStore(RolloutObjects store) {
        this.store = store;
    }

    /** Takes the objects that the store holds and returns their orders; the latest counts if a service has several. */
    public ImmutableList<StoredRollout> read(ImmutableCollection<RolloutObject> current) {
        Map<ServiceName, StoredRollout> orders = new LinkedHashMap<>();
        objects.clear();
        current.stream()
                .sorted(Comparator.comparingLong(RolloutObject::revision))
                .forEach(object -> decoder.decode(object).ifPresent(rollout -> {
                    objects.put(rollout.order().service(), object);
                    orders.put(rollout.order().service(), rollout);
                }));
        return ImmutableList.copyOf(orders.values());
    }

    @Override
    public CompletableFuture<Boolean> write(ServiceName service, RolloutStatus status) {
        return Optional.ofNullable(objects.get(service))
                .map(object -> write(service, object, status, true))
                .orElseGet(() -> CompletableFuture.completedFuture(false));
    }

    private CompletableFuture<Boolean> write(
            ServiceName service, RolloutObject object, RolloutStatus status, boolean mayRepeat) {
        return store.writeStatus(object, json(status)).thenCompose(result -> {
            if (result.conflicting().isPresent() && mayRepeat) {
                return afterConflict(service, result.conflicting().get(), status);
            }
            if (!result.isHeld()) {
                LOGGER.warn(LogLine.of("rollout-status-not-written")
                        .with("service", service.value())
                        .with("stage", status.stage().name())
                        .with("cause", result.cause()));
            }
            return CompletableFuture.completedFuture(result.isHeld());
        });
    }

    private CompletableFuture<Boolean> afterConflict(ServiceName service, RolloutObject found, RolloutStatus status) {
        Optional<StoredRollout> stored = decoder.decode(found)
                .filter(rollout -> rollout.order().service().equals(service))
                .filter(rollout -> rollout.order().target().equals(status.target()));
        Optional<RolloutStatus> held = stored.flatMap(StoredRollout::status);
        if (held.filter(present -> present.stage() == status.stage()).isPresent()) {
            return CompletableFuture.completedFuture(true);
        }
        if (stored.isEmpty()
                || held.filter(present -> present.stage().isFinal()).isPresent()) {
            return CompletableFuture.completedFuture(false);
        }
        return write(service, found, status, false);
    }

    private static ObjectNode json(RolloutStatus status) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("state", state(status))
                .put("target", status.target())
                .put("stage", status.stage().name())
                .put("startedAtMs", status.startedAtMilliseconds())
                .put("requests", status.totals().requests())
                .put("exposure", status.totals().exposure())
                .put("responses", status.totals().targetTotal().responses())
                .put("failures", status.totals().targetTotal().failures())
                .put("slow", status.totals().targetTotal().slow());
    }

    private static String state(RolloutStatus status) {
        return switch (status.stage()) {
            case COMPLETED -> RolloutDecoder.COMPLETED;
            case ROLLED_BACK -> RolloutDecoder.ROLLED_BACK;
            case PROBE, CANARY, CUTOVER, SEALED, WITHDRAWN -> RolloutDecoder.RUNNING;
        };
    }
}
