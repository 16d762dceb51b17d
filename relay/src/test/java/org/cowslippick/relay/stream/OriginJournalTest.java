package org.cowslippick.relay.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.junit.jupiter.api.Test;

class OriginJournalTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final Duration WINDOW = Duration.ofSeconds(16);
    private static final Duration TICK = Duration.ofMillis(1);
    private static final Duration RETRY = OriginJournal.FLUSH_PERIOD.multipliedBy(2);

    private final ManualTimerService timer = new ManualTimerService();
    private final RecordingStore store = new RecordingStore();
    private final Set<ServiceName> mixed = new HashSet<>();
    private final Set<StreamOrigin> loaded = new HashSet<>();
    private OriginJournal journal = newJournal();

    private OriginJournal newJournal() {
        return new OriginJournal(
                timer, new InstanceName("front-1"), store, mixed::contains, WINDOW::toNanos, loaded::add);
    }

    private static StreamOrigin origin(long stream) {
        return new StreamOrigin(SERVICE, stream, "v1");
    }

    private void record(long first, long last) {
        LongStream.rangeClosed(first, last).mapToObj(OriginJournalTest::origin).forEach(journal::record);
    }

    private void becomeMixed() {
        mixed.add(SERVICE);
        journal.mixedChanged();
        timer.advance(TICK);
    }

    private static ImmutableSet<StreamOrigin> origins(long first, long last) {
        return LongStream.rangeClosed(first, last)
                .mapToObj(OriginJournalTest::origin)
                .collect(ImmutableSet.toImmutableSet());
    }

    @Test
    void nothingIsCalledWhileOneVersionServes() {
        record(1, 3);
        journal.mixedChanged();
        timer.advance(WINDOW);
        assertEquals(0, store.loads.size() + store.saves);
    }

    /** Guards against the loss of streams that had begun before the second version came. */
    @Test
    void allOriginsOfTheWindowAreSavedOnceMixed() {
        record(1, 1);
        timer.advance(TICK.multipliedBy(2));
        record(2, 3);
        journal.record(new StreamOrigin(new ServiceName("other"), 4, "v1"));
        timer.advance(WINDOW.minus(TICK));
        becomeMixed();
        assertEquals(origins(2, 3), store.held());
        assertEquals(1, store.saves);
    }

    @Test
    void originsOfAFlushPeriodAreSavedTogether() {
        becomeMixed();
        record(1, 1);
        timer.advance(OriginJournal.FLUSH_PERIOD.minus(TICK));
        record(2, 2);
        assertEquals(0, store.saves);
        timer.advance(TICK);
        assertEquals(origins(1, 2), store.held());
        timer.advance(WINDOW);
        assertEquals(1, store.saves);
    }

    @Test
    void aFailedSaveIsRepeated() {
        becomeMixed();
        store.isAvailable = false;
        record(1, 1);
        timer.advance(OriginJournal.FLUSH_PERIOD.plus(RETRY));
        assertTrue(store.held().isEmpty());
        store.isAvailable = true;
        timer.advance(RETRY);
        assertEquals(origins(1, 1), store.held());
    }

    /** Guards against two writes of one segment that the store executes in the wrong order. */
    @Test
    void savesDoNotOverlap() {
        becomeMixed();
        store.unfinished = Optional.of(new CompletableFuture<>());
        record(1, 1);
        timer.advance(OriginJournal.FLUSH_PERIOD);
        record(2, 2);
        timer.advance(OriginJournal.FLUSH_PERIOD.multipliedBy(2));
        assertEquals(1, store.saves);
        store.unfinished.get().complete(true);
        store.unfinished = Optional.empty();
        timer.advance(OriginJournal.FLUSH_PERIOD);
        assertEquals(origins(1, 2), store.held());
    }

    /** Guards against more control traffic than an instance may cause. */
    @Test
    void aLargeSegmentDelaysTheNextSave() {
        long count = OriginJournal.MAXIMUM_BYTES_PER_SECOND / OriginJournal.ORIGIN_BYTES;
        record(1, count);
        becomeMixed();
        record(count + 1, count + 1);
        timer.advance(Duration.ofSeconds(1).minus(TICK.multipliedBy(2)));
        assertEquals(1, store.saves);
        timer.advance(TICK.multipliedBy(2));
        assertEquals(2, store.saves);
    }

    /** Guards against a restarted process that starts its ring anew over segments that are still needed. */
    @Test
    void aRestartedInstanceKeepsWhatItsFormerProcessSaved() {
        becomeMixed();
        for (long round = 1; round <= 8; round++) {
            record(round, round);
            timer.advance(OriginJournal.FLUSH_PERIOD);
            journal = newJournal();
        }
        assertEquals(origins(1, 8), store.held());
    }

    /** Guards against a first save at a guessed place of the ring. */
    @Test
    void nothingIsSavedBeforeTheOwnSegmentsAreLoaded() {
        List<Boolean> results = new ArrayList<>();
        store.isLoadAnswered = false;
        journal.read(results::add);
        assertEquals(List.of(false), results);
        record(1, 1);
        becomeMixed();
        timer.advance(RETRY.multipliedBy(4));
        assertTrue(store.loads.size() > 1);
        assertEquals(0, store.saves);
        store.isLoadAnswered = true;
        timer.advance(RETRY);
        assertEquals(origins(1, 1), store.held());
    }

    /** Guards against a caller that is refused as a load from before its call lacks its origin. */
    @Test
    void callersThatArriveDuringALoadShareTheNextOne() {
        List<Boolean> results = new ArrayList<>();
        store.isLoadImmediate = false;
        journal.read(results::add);
        journal.read(results::add);
        journal.read(results::add);
        assertEquals(1, store.loads.size());
        store.answerLoad(0, origin(1));
        assertEquals(List.of(true), results);
        timer.advance(SharedLoader.MINIMUM_INTERVAL.minus(TICK));
        assertEquals(1, store.loads.size());
        timer.advance(TICK);
        assertEquals(2, store.loads.size());
        store.answerLoad(1, origin(2));
        assertEquals(List.of(true, true, true), results);
        assertEquals(origins(1, 2), loaded);
    }

    private static final class RecordingStore implements OriginStore {
        private final Map<Integer, OriginSegment> segments = new LinkedHashMap<>();
        private final List<CompletableFuture<Optional<ImmutableList<OriginSegment>>>> loads = new ArrayList<>();
        private Optional<CompletableFuture<Boolean>> unfinished = Optional.empty();
        private boolean isAvailable = true;
        private boolean isLoadAnswered = true;
        private boolean isLoadImmediate = true;
        private int saves;

        @Override
        public CompletableFuture<Boolean> save(OriginSegment segment) {
            saves++;
            if (isAvailable) {
                segments.put(segment.number(), segment);
            }
            return unfinished.orElseGet(() -> CompletableFuture.completedFuture(isAvailable));
        }

        @Override
        public CompletableFuture<Optional<ImmutableList<OriginSegment>>> load() {
            CompletableFuture<Optional<ImmutableList<OriginSegment>>> load = new CompletableFuture<>();
            loads.add(load);
            if (isLoadImmediate) {
                load.complete(
                        Optional.of(ImmutableList.copyOf(segments.values())).filter(_found -> isLoadAnswered));
            }
            return load;
        }

        void answerLoad(int index, StreamOrigin origin) {
            loads.get(index)
                    .complete(Optional.of(ImmutableList.of(
                            new OriginSegment(new InstanceName("front-2"), 0, 0, ImmutableList.of(origin)))));
        }

        ImmutableSet<StreamOrigin> held() {
            return segments.values().stream()
                    .flatMap(segment -> segment.origins().stream())
                    .collect(ImmutableSet.toImmutableSet());
        }
    }
}
