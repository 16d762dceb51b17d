package org.cowslippick.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.platform.HttpPlatform;
import org.cowslippick.fleet.platform.InMemoryObjectStore;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;
import org.cowslippick.fleet.platform.WatchListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class HttpPlatformTest {

    private static final ObjectKey KEY = new ObjectKey("kind", "name with space");

    private final ManualTimerService timer = new ManualTimerService();
    private final StandinPlatform platform = StandinPlatform.start(timer);
    private final HttpPlatform client = HttpPlatform.standalone(platform.address(), timer);

    @AfterEach
    void close() {
        client.close();
        platform.close();
    }

    @Test
    void updatesOnlyTheExpectedVersion() {
        long version = client.create(KEY, "one").join().get().version();
        assertEquals(
                Either.left(PlatformFault.CONFLICT), client.create(KEY, "two").join());
        assertEquals(
                Either.left(PlatformFault.CONFLICT),
                client.update(KEY, version + 7, "two").join());
        long updated = client.update(KEY, version, "two").join().get().version();
        assertEquals(
                Either.right(new StoredObject(KEY, updated, "two")),
                client.get(KEY).join());
        assertEquals(1, client.list("kind", "name").join().get().objects().size());
        assertTrue(client.delete(KEY, updated).join().isRight());
        assertEquals(Either.left(PlatformFault.NOT_FOUND), client.get(KEY).join());
    }

    @Test
    void holdsValuesOfOneMebibyteAndNoMore() {
        String largest = "x".repeat(InMemoryObjectStore.MAXIMUM_VALUE_BYTES);
        assertTrue(client.create(KEY, largest).join().isRight());
        assertEquals(largest, client.get(KEY).join().get().value());
        assertEquals(
                Either.left(PlatformFault.TOO_LARGE),
                client.create(new ObjectKey("kind", "other"), largest + "x").join());
    }

    @Test
    void aLostResponseIsNotReportedAsRefusal() {
        platform.faultInjector().loseResponses(1);
        assertEquals(
                Either.left(PlatformFault.ANSWER_LOST),
                client.create(KEY, "one").join());
        assertEquals("one", client.get(KEY).join().get().value());
    }

    @Test
    void anOutageAndARefusedConnectionExecuteNothing() {
        platform.faultInjector().setUnavailable(true);
        assertEquals(
                Either.left(PlatformFault.UNAVAILABLE),
                client.create(KEY, "one").join());
        platform.faultInjector().setUnavailable(false);
        assertEquals(Either.left(PlatformFault.NOT_FOUND), client.get(KEY).join());
        try (HttpPlatform unreachable = HttpPlatform.standalone(URI.create("http://127.0.0.1:1"), timer)) {
            assertEquals(
                    Either.left(PlatformFault.UNAVAILABLE),
                    unreachable.create(KEY, "one").join());
        }
    }

    @Test
    void aDelayedCallIsExecutedAfterItsDelay() {
        platform.faultInjector().setDelay(Duration.ofSeconds(2));
        CompletableFuture<Either<PlatformFault, StoredObject>> response = client.get(KEY);
        while (!response.isDone()) {
            timer.advance(Duration.ofSeconds(1));
            Thread.onSpinWait();
        }
        assertEquals(Either.left(PlatformFault.NOT_FOUND), response.join());
    }

    @Test
    void aWatchDeliversHistoryAndChangesUntilHistoryIsDiscarded() throws InterruptedException {
        long first = client.create(KEY, "one").join().get().version();
        EventRecorder recorder = new EventRecorder();
        client.watch("kind", first - 1, recorder);
        assertEquals("changed one", recorder.events.take());
        long second = client.update(KEY, first, "two").join().get().version();
        assertEquals("changed two", recorder.events.take());
        client.delete(KEY, second).join();
        assertEquals("deleted", recorder.events.take());
        platform.faultInjector().endWatchesAndDiscardHistory();
        assertEquals("ended UNAVAILABLE", recorder.events.take());
        client.watch("kind", first, recorder);
        assertEquals("ended VERSION_TOO_OLD", recorder.events.take());
    }

    @Test
    void aWatchWithoutHeartbeatsEnds() throws InterruptedException {
        client.create(KEY, "one").join();
        EventRecorder recorder = new EventRecorder();
        ManualTimerService clientTimer = new ManualTimerService();
        try (HttpPlatform other = HttpPlatform.standalone(platform.address(), clientTimer)) {
            other.watch("kind", 0, recorder);
            assertEquals("changed one", recorder.events.take());
            clientTimer.advance(Duration.ofSeconds(30));
            assertEquals("ended UNAVAILABLE", recorder.events.take());
        }
    }

    @Test
    void aChangeOfTheInstanceListIsVisibleAfterItsDelay() {
        ListedInstance listed = new ListedInstance(
                new Instance(
                        new InstanceName("entry-1"),
                        new FailureDomain("west-a", new Region("west")),
                        HostAndPort.fromParts("127.0.0.1", 1),
                        HostAndPort.fromParts("127.0.0.1", 2)),
                ListedInstance.State.LEAVING);
        platform.faultInjector().setInstanceListDelay(Duration.ofSeconds(5));
        platform.setInstances(ImmutableList.of(listed));
        assertEquals(Either.right(ImmutableList.of()), client.instances().join());
        timer.advance(Duration.ofSeconds(5));
        assertEquals(Either.right(ImmutableList.of(listed)), client.instances().join());
    }

    private static final class EventRecorder implements WatchListener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        @Override
        public void changed(StoredObject object) {
            events.add("changed " + object.value());
        }

        @Override
        public void deleted(ObjectKey _key, long _version) {
            events.add("deleted");
        }

        @Override
        public void ended(PlatformFault reason) {
            events.add("ended " + reason);
        }
    }
}
