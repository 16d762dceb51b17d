package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.jboss.logging.Logger;

/**
 * Saves the origins of the streams whose slots this instance granted, so that they outlive a stop of all instances. An
 * origin is only saved while its service is mixed, that is, while more than one software version can have begun its
 * streams; until then it is kept for the window. An origin that is lost leads to a refusal, so writes need no
 * confirmation before a stream goes on. Runs in one event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class OriginJournal {

    static final Duration FLUSH_PERIOD = Duration.ofMillis(250);

    /** The control traffic that an instance may cause. */
    static final long MAXIMUM_BYTES_PER_SECOND = 15_000;

    /** A hash takes 10.7 bytes in base64; the rest is for the other fields of the object. */
    static final long ORIGIN_BYTES = 12;

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");
    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration PAUSE = Duration.ofSeconds(10);

    private final TimerService timer;
    private final OriginStore store;
    private final Predicate<ServiceName> isMixed;
    private final LongSupplier windowNanos;
    private final Consumer<StreamOrigin> loadedOrigins;
    private final OriginSegments segments;
    private final SharedLoader<OriginSegment> loader;
    private final Queue<Recorded> unsaved = new ArrayDeque<>();
    private Optional<Long> lastSaveNanos = Optional.empty();
    private boolean isScheduled;
    private boolean isBusy;
    private long earliestFlushNanos;
    private long droppedOrigins;

    /**
     * Creates an empty journal, which makes no call until a service is mixed or {@link #read} is called.
     *
     * @param isMixed whether more than one software version can have begun streams of a service
     * @param windowNanos for how long a stream can be resumed after its first event
     * @param loadedOrigins receives the origins of all instances after each load
     */
    public OriginJournal(
            TimerService timer,
            InstanceName self,
            OriginStore store,
            Predicate<ServiceName> isMixed,
            LongSupplier windowNanos,
            Consumer<StreamOrigin> loadedOrigins) {
        this.timer = timer;
        this.store = store;
        this.isMixed = isMixed;
        this.windowNanos = windowNanos;
        this.loadedOrigins = loadedOrigins;
        this.segments = new OriginSegments(self);
        this.loader =
                new SharedLoader<>(timer, "stream-origins-load", store::load, this::handOver, OriginJournal::describe);
        this.earliestFlushNanos = timer.nanoTime();
    }

    /** Takes an origin, which is saved with the next flush if its service is mixed. */
    public void record(StreamOrigin origin) {
        removeExpired();
        if (unsaved.size() >= OriginSegments.MAXIMUM_ORIGINS) {
            unsaved.remove();
            droppedOrigins++;
        }
        unsaved.add(new Recorded(origin, timer.nanoTime()));
        if (isMixed.test(origin.service())) {
            scheduleFlush(FLUSH_PERIOD);
        }
    }

    /**
     * Saves at once what was recorded of services that are mixed now; a flush that is scheduled already saves it too.
     * To be called whenever a service may have become mixed.
     */
    public void mixedChanged() {
        removeExpired();
        if (hasUnsavedOfMixedService()) {
            scheduleFlush(Duration.ZERO);
        }
    }

    /**
     * Hands over all origins that the store holds at the time of the call or later, then calls back with whether the
     * store responded.
     */
    public void read(Consumer<Boolean> onRead) {
        loader.load(onRead);
    }

    private void handOver(ImmutableList<OriginSegment> loaded) {
        segments.continueAfter(loaded, timer.nanoTime());
        loaded.stream().flatMap(segment -> segment.origins().stream()).forEach(loadedOrigins);
    }

    private static LogLine describe(LogLine line, ImmutableList<OriginSegment> loaded) {
        return line.with("segments", loaded.size())
                .with(
                        "origins",
                        loaded.stream()
                                .mapToLong(segment -> segment.origins().size())
                                .sum());
    }

    /** Does nothing while a call is in progress, as its end schedules the next flush. */
    private void scheduleFlush(Duration delay) {
        if (isBusy || isScheduled) {
            return;
        }
        isScheduled = true;
        long delayNanos = Math.max(delay.toNanos(), earliestFlushNanos - timer.nanoTime());
        timer.schedule(Duration.ofNanos(delayNanos), this::flush);
    }

    private void flush() {
        isScheduled = false;
        removeExpired();
        ImmutableSet<ServiceName> mixed = unsaved.stream()
                .map(recorded -> recorded.origin().service())
                .distinct()
                .filter(isMixed)
                .collect(ImmutableSet.toImmutableSet());
        ImmutableList<Recorded> batch = unsaved.stream()
                .filter(recorded -> mixed.contains(recorded.origin().service()))
                .collect(ImmutableList.toImmutableList());
        if (batch.isEmpty()) {
            return;
        }
        isBusy = true;
        if (segments.isPositioned()) {
            save(batch);
        } else {
            loader.load(this::finishOwnLoad);
        }
    }

    private void finishOwnLoad(boolean isAnswered) {
        isBusy = false;
        if (!isAnswered) {
            earliestFlushNanos = timer.nanoTime() + retryDelayNanos();
        }
        scheduleFlush(Duration.ZERO);
    }

    private void save(ImmutableList<Recorded> batch) {
        long now = timer.nanoTime();
        OriginSegment segment = segments.add(
                batch.stream().map(Recorded::origin).collect(ImmutableList.toImmutableList()),
                now,
                windowNanos.getAsLong());
        logAfterPause(segment, now);
        lastSaveNanos = Optional.of(now);
        earliestFlushNanos =
                now + segment.origins().size() * ORIGIN_BYTES * NANOS_PER_SECOND / MAXIMUM_BYTES_PER_SECOND;
        store.save(segment)
                .exceptionally(failure -> {
                    LOGGER.warn(LogLine.of("stream-origins-save-failed").with("cause", String.valueOf(failure)));
                    return false;
                })
                .thenAccept(isHeld -> finishSave(batch, isHeld));
    }

    private void finishSave(ImmutableList<Recorded> batch, boolean isHeld) {
        isBusy = false;
        if (isHeld) {
            unsaved.removeAll(ImmutableSet.copyOf(batch));
        } else {
            earliestFlushNanos = Math.max(earliestFlushNanos, timer.nanoTime() + retryDelayNanos());
        }
        if (hasUnsavedOfMixedService()) {
            scheduleFlush(FLUSH_PERIOD);
        }
    }

    private void logAfterPause(OriginSegment segment, long now) {
        if (lastSaveNanos.filter(last -> now - last < PAUSE.toNanos()).isPresent()) {
            return;
        }
        LOGGER.info(LogLine.of("stream-origins-save-started")
                .with("number", segment.number())
                .with("sequence", segment.sequence())
                .with("origins", segment.origins().size())
                .with("dropped", droppedOrigins));
    }

    private boolean hasUnsavedOfMixedService() {
        return unsaved.stream()
                .map(recorded -> recorded.origin().service())
                .distinct()
                .anyMatch(isMixed);
    }

    private void removeExpired() {
        long oldestNanos = timer.nanoTime() - windowNanos.getAsLong();
        while (!unsaved.isEmpty() && unsaved.element().nanos() - oldestNanos < 0) {
            unsaved.remove();
        }
    }

    /** Spreads the calls of instances that the store failed at the same time. */
    private static long retryDelayNanos() {
        return FLUSH_PERIOD.toNanos() + ThreadLocalRandom.current().nextLong(FLUSH_PERIOD.toNanos());
    }

    private record Recorded(StreamOrigin origin, long nanos) {}
}
