package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Loads the segments of all instances, one load at a time. A caller is served by a load that starts after its call, so
 * that it gets what the store held then; callers that arrive before its start share it.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class OriginLoader {

    /** Between the starts of two loads, as the store limits the rate of calls. */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(300);

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");

    private final TimerService timer;
    private final OriginStore store;
    private final Consumer<ImmutableList<OriginSegment>> loaded;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean isLoading;
    private boolean isScheduled;
    private long earliestStartNanos;

    OriginLoader(TimerService timer, OriginStore store, Consumer<ImmutableList<OriginSegment>> loaded) {
        this.timer = timer;
        this.store = store;
        this.loaded = loaded;
        this.earliestStartNanos = timer.nanoTime();
    }

    /** Hands over the segments and then calls back with whether the store responded. */
    void load(Consumer<Boolean> onLoaded) {
        waiting.add(onLoaded);
        startInTime();
    }

    private void startInTime() {
        if (isLoading || isScheduled || waiting.isEmpty()) {
            return;
        }
        long delayNanos = earliestStartNanos - timer.nanoTime();
        if (delayNanos <= 0) {
            start();
            return;
        }
        isScheduled = true;
        timer.schedule(Duration.ofNanos(delayNanos), () -> {
            isScheduled = false;
            start();
        });
    }

    private void start() {
        long startNanos = timer.nanoTime();
        ImmutableList<Consumer<Boolean>> served = ImmutableList.copyOf(waiting);
        waiting.clear();
        isLoading = true;
        earliestStartNanos = startNanos + MINIMUM_INTERVAL.toNanos();
        store.load()
                .exceptionally(failure -> {
                    LOGGER.warn(LogLine.of("stream-origins-load-failed").with("cause", String.valueOf(failure)));
                    return Optional.empty();
                })
                .thenAccept(segments -> finish(segments, served, startNanos));
    }

    private void finish(
            Optional<ImmutableList<OriginSegment>> segments, ImmutableList<Consumer<Boolean>> served, long startNanos) {
        isLoading = false;
        log(segments, timer.nanoTime() - startNanos);
        segments.ifPresent(loaded);
        served.forEach(caller -> caller.accept(segments.isPresent()));
        startInTime();
    }

    private static void log(Optional<ImmutableList<OriginSegment>> segments, long elapsedNanos) {
        LOGGER.info(LogLine.of("stream-origins-load")
                .with("isAnswered", segments.isPresent())
                .with("segments", segments.map(ImmutableList::size).orElse(0))
                .with(
                        "origins",
                        segments.stream()
                                .flatMap(ImmutableList::stream)
                                .mapToLong(segment -> segment.origins().size())
                                .sum())
                .with("elapsedMs", Duration.ofNanos(elapsedNanos).toMillis()));
    }
}
