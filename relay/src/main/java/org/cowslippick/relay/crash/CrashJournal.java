package org.cowslippick.relay.crash;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.store.ObjectStore;
import org.cowslippick.relay.store.ObjectStore.WriteOutcome;
import org.cowslippick.relay.store.ObjectStore.WriteResult;
import org.cowslippick.relay.store.StoreObject;
import org.cowslippick.scheduler.quarantine.CrashId;
import org.cowslippick.scheduler.quarantine.CrashRecord;
import org.jboss.logging.Logger;

/**
 * Keeps the evidence of crashes in the store, so that it outlives a stop of all instances. One object has the records that
 * all instances know; it is read, merged and replaced conditionally, so that suspects stay cleared. Runs in one event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class CrashJournal {

    public static final String KIND = "cowslippick-crashes";

    static final String NAME = "evidence";

    /**
     * The minimum age of what is written. Until then, other requests with the same parts are answered, which clears the
     * parts that are shared by sound requests.
     */
    static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    /** The reporter of a crash writes it; other instances write it if the reporter has ended before. */
    static final Duration TAKEOVER_DELAY = Duration.ofSeconds(4);

    static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private static final Logger LOGGER = Logger.getLogger("cowslippick.crash");
    private static final double MAXIMUM_JITTER = 0.5;
    private static final int MAXIMUM_WRITES = 4;

    private final TimerService timer;
    private final CrashDetector detector;
    private final ObjectStore store;
    private final CrashRecordCodec codec;
    private Optional<Subscription> scheduled = Optional.empty();
    private long dueNanos;
    private boolean isBusy;

    /** Creates a journal, which makes no call before {@link #start}. */
    public CrashJournal(TimerService timer, CrashDetector detector, ObjectStore store) {
        this.timer = timer;
        this.detector = detector;
        this.store = store;
        this.codec = new CrashRecordCodec(timer);
        detector.addLocalChangeListener(_changed -> schedule(SETTLING_TIME));
        detector.addMergeListener(() -> schedule(TAKEOVER_DELAY));
    }

    /** Loads what the store holds. */
    public void start() {
        synchronise();
    }

    /** Writes the evidence again after the store has restarted from an older copy. */
    public void storeRestarted() {
        if (!detector.records().isEmpty()) {
            schedule(RETRY_DELAY);
        }
    }

    /** The longest that a synchronisation is delayed, as instances that know of the same crash take their turns. */
    static Duration longestDelay(Duration delay) {
        return delay.plusNanos((long) (delay.toNanos() * MAXIMUM_JITTER));
    }

    private void schedule(Duration minimumDelay) {
        Duration delay = Duration.ofNanos(ThreadLocalRandom.current()
                .nextLong(minimumDelay.toNanos(), longestDelay(minimumDelay).toNanos()));
        long next = timer.nanoTime() + delay.toNanos();
        if (scheduled.isPresent() && dueNanos - next <= 0) {
            return;
        }
        scheduled.ifPresent(Subscription::cancel);
        dueNanos = next;
        scheduled = Optional.of(timer.schedule(delay, () -> {
            scheduled = Optional.empty();
            synchronise();
        }));
    }

    private void synchronise() {
        if (isBusy) {
            schedule(RETRY_DELAY);
            return;
        }
        isBusy = true;
        store.list(KIND)
                .thenCompose(listed -> listed.map(objects -> settle(Stored.of(objects, codec), MAXIMUM_WRITES))
                        .orElseGet(() -> CompletableFuture.completedFuture(false)))
                .exceptionally(failure -> {
                    LOGGER.error(LogLine.of("crash-records-not-synchronised"), failure);
                    return false;
                })
                .thenAccept(this::finish);
    }

    private void finish(boolean isSettled) {
        isBusy = false;
        if (!isSettled) {
            schedule(RETRY_DELAY);
        } else if (detector.records().stream().anyMatch(record -> !isOldEnough(record))) {
            schedule(SETTLING_TIME);
        }
    }

    /** Brings this instance and the store into agreement; completes with whether that succeeded. */
    private CompletableFuture<Boolean> settle(Stored stored, int writesLeft) {
        detector.restore(stored.records().values().asList());
        ImmutableList<CrashRecord> known = detector.records().stream()
                .filter(record -> stored.records().containsKey(record.id())
                        || (isOldEnough(record) && !record.suspects().isEmpty()))
                .collect(ImmutableList.toImmutableList());
        if (stored.hasAll(known)) {
            return CompletableFuture.completedFuture(true);
        }
        return writesLeft == 0
                ? CompletableFuture.completedFuture(false)
                : write(stored, known).thenCompose(result -> settleAfter(result, known, writesLeft - 1));
    }

    private CompletableFuture<WriteResult> write(Stored stored, ImmutableList<CrashRecord> records) {
        return stored.revision().isPresent()
                ? store.replace(KIND, NAME, codec.encode(records), stored.revision())
                : store.create(KIND, NAME, codec.encode(records));
    }

    private CompletableFuture<Boolean> settleAfter(
            WriteResult result, ImmutableList<CrashRecord> written, int writesLeft) {
        if (result.isApplied()) {
            LOGGER.info(LogLine.of("crash-records-written").with("records", written.size()));
            return CompletableFuture.completedFuture(true);
        }
        if (result.outcome() == WriteOutcome.CONFLICT && result.present().isPresent()) {
            return settle(
                    Stored.of(result.present().stream().collect(ImmutableList.toImmutableList()), codec), writesLeft);
        }
        LOGGER.warn(LogLine.of("crash-records-not-written").with("cause", result.cause()));
        return CompletableFuture.completedFuture(false);
    }

    private boolean isOldEnough(CrashRecord record) {
        return timer.nanoTime() - record.atNanos() >= SETTLING_TIME.toNanos();
    }

    /**
     * What the store holds.
     *
     * @param revision empty if the object does not exist
     */
    private record Stored(OptionalLong revision, ImmutableMap<CrashId, CrashRecord> records) {

        static Stored of(ImmutableList<StoreObject> objects, CrashRecordCodec codec) {
            return objects.stream()
                    .filter(object -> object.name().equals(NAME))
                    .findFirst()
                    .map(object -> new Stored(
                            OptionalLong.of(object.revision()),
                            codec.decode(object.spec()).stream()
                                    .collect(ImmutableMap.toImmutableMap(
                                            CrashRecord::id, record -> record, (_one, other) -> other))))
                    .orElseGet(() -> new Stored(OptionalLong.empty(), ImmutableMap.of()));
        }

        /** Whether the store has the records, and no suspects of them that have been cleared. */
        boolean hasAll(ImmutableList<CrashRecord> known) {
            return Maps.uniqueIndex(known, CrashRecord::id).entrySet().stream().allMatch(entry -> Optional.ofNullable(
                            records.get(entry.getKey()))
                    .filter(record -> record.suspects().equals(entry.getValue().suspects()))
                    .isPresent());
        }
    }
}
