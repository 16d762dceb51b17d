package org.cowslippick.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.relay.store.ObjectStore;
import org.cowslippick.relay.store.StoreObject;
import org.junit.jupiter.api.Test;

class InstanceRegistryTest {

    private static final HostAndPort ADDRESS = HostAndPort.fromParts("10.0.0.1", 80);
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));

    private final ManualTimerService timer = new ManualTimerService();
    private final RecordingStore store = new RecordingStore();
    private final InstanceDirectory instances =
            new InstanceDirectory(new Instance(new InstanceName("self"), DOMAIN, ADDRESS, ADDRESS), timer);
    private final InstanceRegistry registry = new InstanceRegistry(store, timer, instances);

    /** The copy lacks a registration that the store had acknowledged; without it no caller would be sent here. */
    @Test
    void registersAtOnceIfTheCopyLacksItsRegistration() {
        registry.onSnapshot(ImmutableList.of(registration("self")), new StorePosition(1, 50));
        assertEquals(List.of(), store.calls);
        registry.onSnapshot(ImmutableList.of(), new StorePosition(2, 40));
        assertEquals(List.of("create self"), store.calls);
    }

    /** An instance that does not read the store learns from a collector that its registration is lost. */
    @Test
    void registersAtOnceIfAPeersListOfANewerEraLacksIt() {
        instances.setRegistrationLostListener(registry::register);
        registry.onSnapshot(ImmutableList.of(registration("self")), new StorePosition(1, 50));
        instances.applyFromPeer(ImmutableList.of(), new StorePosition(1, 60));
        assertEquals(List.of(), store.calls);
        instances.applyFromPeer(ImmutableList.of(), new StorePosition(2, 40));
        assertEquals(List.of("create self"), store.calls);
        instances.applyFromPeer(ImmutableList.of(instances.self()), new StorePosition(3, 30));
        assertEquals(List.of("create self"), store.calls);
    }

    @Test
    void replacesARegistrationOfAnEarlierRunThatTheCopyHolds() {
        store.creation = ObjectStore.WriteOutcome.CONFLICT;
        registry.onSnapshot(ImmutableList.of(), new StorePosition(2, 40));
        assertEquals(List.of("create self", "replace self"), store.calls);
    }

    private static StoreObject registration(String name) {
        return new StoreObject(name, 1, JsonNodeFactory.instance.objectNode(), MissingNode.getInstance());
    }

    private static final class RecordingStore implements ObjectStore {
        private final List<String> calls = new ArrayList<>();
        private WriteOutcome creation = WriteOutcome.APPLIED;

        @Override
        public CompletableFuture<Optional<ImmutableList<StoreObject>>> list(String _kind) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<WriteResult> create(String _kind, String name, JsonNode _spec) {
            return call("create " + name, creation);
        }

        @Override
        public CompletableFuture<WriteResult> replace(
                String _kind, String name, JsonNode _spec, OptionalLong _revision) {
            return call("replace " + name, WriteOutcome.APPLIED);
        }

        @Override
        public CompletableFuture<WriteResult> remove(String _kind, String name) {
            return call("remove " + name, WriteOutcome.APPLIED);
        }

        private CompletableFuture<WriteResult> call(String call, WriteOutcome outcome) {
            calls.add(call);
            return CompletableFuture.completedFuture(new WriteResult(outcome, Optional.empty(), ""));
        }
    }
}
