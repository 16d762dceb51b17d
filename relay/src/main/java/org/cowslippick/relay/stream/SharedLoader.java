package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Loads what all instances have written to the store, one load at a time. A caller is served by a load that starts after its
 * call, so that it gets what the store held then; callers that arrive before its start share it.
 *
 * @param <T> what is loaded
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class SharedLoader<T> {

    /** Between the starts of two loads, as the store limits the rate of calls. */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(300);

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");

    private final TimerService timer;
    private final Supplier<CompletableFuture<Optional<ImmutableList<T>>>> store;
    private final Consumer<ImmutableList<T>> loaded;
    private final String event;
    private final BiFunction<LogLine, ImmutableList<T>, LogLine> description;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean isLoading;
    private boolean isScheduled;
    private long earliestStartNanos;

    /**
     * Creates a loader.
     *
     * @param event the event of the log line of each load, which the description adds fields to
     */
    SharedLoader(
            TimerService timer,
            String event,
            Supplier<CompletableFuture<Optional<ImmutableList<T>>>> store,
            Consumer<ImmutableList<T>> loaded,
            BiFunction<LogLine, ImmutableList<T>, LogLine> description) {
        this.timer = timer;
        this.event = event;
        this.store = store;
        this.loaded = loaded;
        this.description = description;
        this.earliestStartNanos = timer.nanoTime();
    }

    /** Hands over what was loaded and then calls back with whether the store responded. */
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
        store.get()
                .exceptionally(failure -> {
                    LOGGER.warn(LogLine.of(event + "-failed").with("cause", String.valueOf(failure)));
                    return Optional.empty();
                })
                .thenAccept(found -> finish(found, served, startNanos));
    }

    private void finish(Optional<ImmutableList<T>> found, ImmutableList<Consumer<Boolean>> served, long startNanos) {
        isLoading = false;
        LOGGER.info(description
                .apply(LogLine.of(event), found.orElseGet(ImmutableList::of))
                .with("isAnswered", found.isPresent())
                .with(
                        "elapsedMs",
                        Duration.ofNanos(timer.nanoTime() - startNanos).toMillis()));
        found.ifPresent(loaded);
        served.forEach(caller -> caller.accept(found.isPresent()));
        startInTime();
    }
}
