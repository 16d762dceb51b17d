package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.stream.OriginPeers.Answers;
import org.cowslippick.scheduler.stream.StreamOrigins;
import org.jboss.logging.Logger;

/**
 * Finds origins in the order of their price: in memory, at other instances, by there being only one version, in the store.
 * A recorded origin is a fact. That there is only one version is a deduction, which other instances have to share. An origin
 * that is found nowhere is not guessed.
 */
public final class OriginFinder {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");

    private final TimerService timer;
    private final StreamOrigins origins;
    private final Function<ServiceName, Optional<String>> onlyVersion;
    private final Function<ServiceName, ImmutableSet<String>> possibleVersions;
    private final BooleanSupplier isUpToDate;
    private final OriginPeers peers;
    private final Consumer<Consumer<Boolean>> storeReader;
    private final Consumer<RelayEvent> counter;

    /**
     * Creates a finder.
     *
     * @param onlyVersion the version of a service that alone can have begun streams; empty if there are several
     * @param possibleVersions the versions of a service that can have begun streams, as far as this instance knows
     * @param isUpToDate whether this instance has had the endpoints that the store lists a moment ago
     * @param storeReader adds the origins that the store holds to {@code origins}, and calls back with whether it could
     */
    public OriginFinder(
            TimerService timer,
            StreamOrigins origins,
            Function<ServiceName, Optional<String>> onlyVersion,
            Function<ServiceName, ImmutableSet<String>> possibleVersions,
            BooleanSupplier isUpToDate,
            OriginPeers peers,
            Consumer<Consumer<Boolean>> storeReader,
            Consumer<RelayEvent> counter) {
        this.timer = timer;
        this.origins = origins;
        this.onlyVersion = onlyVersion;
        this.possibleVersions = possibleVersions;
        this.isUpToDate = isUpToDate;
        this.peers = peers;
        this.storeReader = storeReader;
        this.counter = counter;
    }

    /** What this instance answers others. */
    public OriginAnswer answer(ServiceName service, long stream) {
        return new OriginAnswer(origins.find(service, stream), possibleVersions.apply(service));
    }

    /** Calls the consumer once, possibly before this method returns, with nothing if the version is unknown. */
    public void find(ServiceName service, long stream, Consumer<Optional<String>> onFound) {
        long startNanos = timer.nanoTime();
        BiConsumer<Source, Optional<String>> answer = (source, version) -> {
            report(service, stream, source, version, startNanos);
            onFound.accept(version);
        };
        Optional<String> recorded = origins.find(service, stream);
        if (recorded.isPresent() || origins.isContradictory(service, stream)) {
            answer.accept(Source.MEMORY, recorded);
            return;
        }
        peers.ask(service, stream, answers -> evaluate(service, stream, answers, answer));
    }

    private void evaluate(
            ServiceName service, long stream, Answers answers, BiConsumer<Source, Optional<String>> answer) {
        ImmutableSet<String> recorded = answers.received().stream()
                .flatMap(received -> received.recorded().stream())
                .collect(ImmutableSet.toImmutableSet());
        Optional<String> only = onlyVersion.apply(service).filter(version -> isAgreed(version, answers));
        if (recorded.size() == 1) {
            answer.accept(Source.INSTANCE, recorded.stream().findFirst());
        } else if (recorded.isEmpty() && only.isPresent()) {
            answer.accept(Source.ONLY_VERSION, only);
        } else {
            readStore(service, stream, answer);
        }
    }

    /**
     * Whether a version alone can have begun streams. An instance may not have learnt of another version yet; those that
     * have served it have. Silent instances count only while this one does not have the present list of endpoints.
     */
    private boolean isAgreed(String version, Answers answers) {
        boolean isConfirmed = answers.received().stream()
                .anyMatch(received -> received.possible().contains(version));
        boolean isContradicted = answers.received().stream()
                .flatMap(received -> received.possible().stream())
                .anyMatch(possible -> !possible.equals(version));
        return !isContradicted && (isUpToDate.getAsBoolean() || (answers.isComplete() && isConfirmed));
    }

    private void readStore(ServiceName service, long stream, BiConsumer<Source, Optional<String>> answer) {
        storeReader.accept(isRead -> {
            Optional<String> stored = origins.find(service, stream);
            answer.accept(isRead || stored.isPresent() ? Source.STORE : Source.STORE_SILENT, stored);
        });
    }

    private void report(ServiceName service, long stream, Source source, Optional<String> version, long startNanos) {
        counter.accept(version.isPresent() ? RelayEvent.STREAM_ORIGIN_FOUND : RelayEvent.STREAM_ORIGIN_UNKNOWN);
        LOGGER.info(LogLine.of("stream-origin")
                .with("service", service.value())
                .with("stream", Long.toHexString(stream))
                .with("version", version.orElse(""))
                .with("isKnown", version.isPresent())
                .with("source", source.name())
                .with(
                        "searchedMs",
                        Duration.ofNanos(timer.nanoTime() - startNanos).toMillis()));
    }

    /** What told the version, or was asked last. */
    private enum Source {
        MEMORY,
        ONLY_VERSION,
        INSTANCE,
        STORE,
        STORE_SILENT
    }
}
