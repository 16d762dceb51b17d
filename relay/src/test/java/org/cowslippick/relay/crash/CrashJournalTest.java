package org.cowslippick.relay.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.http.BoundedJson;
import org.cowslippick.relay.endpoint.ProbeResult;
import org.cowslippick.relay.store.ObjectStore;
import org.cowslippick.relay.store.StoreObject;
import org.junit.jupiter.api.Test;

/** Requests that crash endpoints stay known when all instances end at once. */
class CrashJournalTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final ImmutableList<String> HARMFUL = ImmutableList.of("shared", "harmful");
    private static final Duration UNTIL_WRITTEN = CrashJournal.longestDelay(CrashJournal.SETTLING_TIME);

    private final ManualTimerService timer = new ManualTimerService();
    private final MemoryStore store = new MemoryStore();
    private int processes;
    private int endpoints;

    @Test
    void quarantineOutlivesAStopOfAllInstances() {
        crash(start(), 3, HARMFUL);
        assertTrue(isQuarantined(start(), HARMFUL));
    }

    /** Otherwise each stop would let as many endpoints crash again as lead to a quarantine. */
    @Test
    void evidenceBeforeTheQuarantineOutlivesAStop() {
        crash(start(), 1, HARMFUL);
        crash(start(), 1, HARMFUL);
        CrashDetector last = start();
        assertFalse(isQuarantined(last, HARMFUL));
        crash(last, 1, HARMFUL);
        assertTrue(isQuarantined(last, HARMFUL));
    }

    /** Parts that sound requests share with harmful ones would be refused after a restart. */
    @Test
    void clearedPartsStayCleared() {
        CrashDetector before = start();
        for (String request : ImmutableList.of("one", "two", "three")) {
            crash(before, 1, ImmutableList.of("shared", request));
        }
        before.answered(SERVICE, ImmutableList.of("shared", "sound"));
        timer.advance(UNTIL_WRITTEN);
        assertFalse(isQuarantined(start(), ImmutableList.of("shared", "sound")));
    }

    /** Answers clear the parts within a second, and all instances may end before they do. */
    @Test
    void recordsAreNotWrittenBeforeAnswersCanClearTheirParts() {
        CrashDetector before = start();
        IntStream.range(0, 4).forEach(number -> {
            breakOff(before, ImmutableList.of("shared", "request-" + number));
            timer.advance(Duration.ofMillis(330));
        });
        timer.advance(UNTIL_WRITTEN.minusMillis(4 * 330));
        assertTrue(store.text().contains("request-0"), store::text);
        assertFalse(isQuarantined(start(), ImmutableList.of("shared", "sound")));
    }

    @Test
    void instancesThatWriteAtTheSameTimeLoseNothingOfEachOther() {
        CrashDetector one = start();
        CrashDetector other = start();
        store.beforeNextWrite = () -> timer.advance(UNTIL_WRITTEN);
        breakOff(one, ImmutableList.of("one"));
        breakOff(other, ImmutableList.of("other"));
        timer.advance(UNTIL_WRITTEN.multipliedBy(4));
        assertEquals(2, start().records().size());
    }

    @Test
    void evidenceOfAnInstanceThatEndedBeforeItWroteIsWrittenByAnother() {
        CrashDetector other = start();
        CrashDetector reporter = newDetector();
        breakOff(reporter, HARMFUL);
        other.merge(new InstanceName("front-2"), reporter.records());
        timer.advance(CrashJournal.longestDelay(CrashJournal.TAKEOVER_DELAY));
        assertTrue(store.text().contains("harmful"), store::text);
    }

    @Test
    void evidenceIsWrittenOnceTheStoreResponds() {
        CrashDetector before = start();
        store.isAvailable = false;
        crash(before, 3, HARMFUL);
        store.isAvailable = true;
        timer.advance(Duration.ofSeconds(2));
        assertTrue(isQuarantined(start(), HARMFUL));
    }

    @Test
    void evidenceIsLoadedOnceTheStoreResponds() {
        crash(start(), 3, HARMFUL);
        store.isAvailable = false;
        CrashDetector after = start();
        assertFalse(isQuarantined(after, HARMFUL));
        store.isAvailable = true;
        timer.advance(Duration.ofSeconds(2));
        assertTrue(isQuarantined(after, HARMFUL));
    }

    @Test
    void evidenceIsWrittenAgainToAStoreThatLostIt() {
        Started before = startJournal();
        crash(before.detector(), 3, HARMFUL);
        store.objects.clear();
        before.journal().storeRestarted();
        timer.advance(CrashJournal.longestDelay(CrashJournal.RETRY_DELAY));
        assertTrue(isQuarantined(start(), HARMFUL));
    }

    @Test
    void evidenceExpiresAcrossAStop() {
        crash(start(), 3, HARMFUL);
        timer.advance(Duration.ofMinutes(6));
        CrashDetector after = start();
        assertFalse(isQuarantined(after, HARMFUL));
        assertTrue(after.records().isEmpty());
    }

    @Test
    void recordsThatCannotBeReadAreSkipped() {
        crash(start(), 3, HARMFUL);
        store.replaceText(store.text().replace("\"records\":[", "\"records\":[7,{},{\"reporter\":[]},"));
        assertTrue(isQuarantined(start(), HARMFUL));
    }

    @Test
    void nothingIsWrittenWithoutCrashes() {
        CrashDetector detector = start();
        detector.answered(SERVICE, HARMFUL);
        timer.advance(Duration.ofMinutes(1));
        assertEquals(1, store.calls);
    }

    private CrashDetector start() {
        return startJournal().detector();
    }

    private CrashDetector newDetector() {
        processes++;
        return new CrashDetector(
                new InstanceName("front-1"),
                new Incarnation(processes),
                timer,
                (_address, listener) -> listener.accept(ProbeResult.REFUSED));
    }

    private Started startJournal() {
        CrashDetector detector = newDetector();
        CrashJournal journal = new CrashJournal(timer, detector, store);
        journal.start();
        return new Started(detector, journal);
    }

    /** Crashes endpoints at intervals in which they can start again, and waits until the last record is written. */
    private void crash(CrashDetector detector, int count, ImmutableList<String> contents) {
        IntStream.range(0, count).forEach(_number -> {
            timer.advance(Duration.ofSeconds(2));
            breakOff(detector, contents);
        });
        timer.advance(UNTIL_WRITTEN);
    }

    private void breakOff(CrashDetector detector, ImmutableList<String> contents) {
        endpoints++;
        detector.requestBroken(
                new LiveEndpoint(
                        "engine-" + endpoints,
                        SERVICE,
                        HostAndPort.fromParts("10.0.0.1", endpoints),
                        new FailureDomain("oviedo", new Region("asturias")),
                        10,
                        false,
                        1,
                        1),
                contents);
    }

    private static boolean isQuarantined(CrashDetector detector, ImmutableList<String> contents) {
        return detector.quarantined(SERVICE, contents).isPresent();
    }

    private record Started(CrashDetector detector, CrashJournal journal) {}

    /** A store in memory that can be away, and in which something can happen before a write. */
    private static final class MemoryStore implements ObjectStore {
        private final Map<String, StoreObject> objects = new LinkedHashMap<>();
        private boolean isAvailable = true;
        private Runnable beforeNextWrite = () -> {};
        private long revision;
        private int calls;

        String text() {
            return objects.values().stream()
                    .map(object -> BoundedJson.write(object.spec()))
                    .findFirst()
                    .orElse("");
        }

        void replaceText(String text) {
            try {
                put(CrashJournal.NAME, BoundedJson.read(text));
            } catch (JsonProcessingException malformed) {
                throw new IllegalArgumentException(malformed);
            }
        }

        @Override
        public CompletableFuture<Optional<ImmutableList<StoreObject>>> list(String _kind) {
            calls++;
            return CompletableFuture.completedFuture(
                    isAvailable ? Optional.of(ImmutableList.copyOf(objects.values())) : Optional.empty());
        }

        @Override
        public CompletableFuture<WriteResult> create(String _kind, String name, JsonNode spec) {
            return write(name, spec, OptionalLong.of(0));
        }

        @Override
        public CompletableFuture<WriteResult> replace(
                String _kind, String name, JsonNode spec, OptionalLong expectedRevision) {
            return write(name, spec, expectedRevision);
        }

        @Override
        public CompletableFuture<WriteResult> remove(String _kind, String _name) {
            throw new UnsupportedOperationException("nothing is removed");
        }

        private CompletableFuture<WriteResult> write(String name, JsonNode spec, OptionalLong expectedRevision) {
            calls++;
            Runnable before = beforeNextWrite;
            beforeNextWrite = () -> {};
            before.run();
            if (!isAvailable) {
                return result(WriteOutcome.UNKNOWN, Optional.empty());
            }
            Optional<StoreObject> present = Optional.ofNullable(objects.get(name));
            if (expectedRevision.orElse(0) != present.map(StoreObject::revision).orElse(0L)) {
                return result(present.isPresent() ? WriteOutcome.CONFLICT : WriteOutcome.MISSING, present);
            }
            put(name, spec);
            return result(WriteOutcome.APPLIED, Optional.empty());
        }

        private void put(String name, JsonNode spec) {
            revision++;
            objects.put(name, new StoreObject(name, revision, spec, MissingNode.getInstance()));
        }

        private static CompletableFuture<WriteResult> result(WriteOutcome outcome, Optional<StoreObject> present) {
            return CompletableFuture.completedFuture(new WriteResult(outcome, present, outcome.name()));
        }
    }
}
