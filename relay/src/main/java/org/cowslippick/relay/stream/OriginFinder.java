package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
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
 * A recorded origin is a fact. That there is only one version is a deduction from what this instance has heard, and it may
 * have been cut off or have stood still while another version joined. So the store's registry, read after the caller's
 * return, has to confirm it. An origin that is found nowhere is not guessed.
 */
public final class OriginFinder {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");

    private final TimerService timer;
    private final StreamOrigins origins;
    private final Function<ServiceName, Optional<String>> onlyVersion;
    private final Function<ServiceName, ImmutableSet<String>> possibleVersions;
    private final Registry registry;
    private final OriginPeers peers;
    private final Consumer<Consumer<Boolean>> storeReader;
    private final Consumer<RelayEvent> counter;

    /**
     * Creates a finder.
     *
     * @param onlyVersion the version of a service that alone can have begun streams; empty if there are several
     * @param possibleVersions the versions of a service that can have begun streams, as far as this instance knows
     * @param storeReader adds the origins that the store holds to {@code origins}, and calls back with whether it could
     */
    public OriginFinder(
            TimerService timer,
            StreamOrigins origins,
            Function<ServiceName, Optional<String>> onlyVersion,
            Function<ServiceName, ImmutableSet<String>> possibleVersions,
            Registry registry,
            OriginPeers peers,
            Consumer<Consumer<Boolean>> storeReader,
            Consumer<RelayEvent> counter) {
        this.timer = timer;
        this.origins = origins;
        this.onlyVersion = onlyVersion;
        this.possibleVersions = possibleVersions;
        this.registry = registry;
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
        Optional<String> only = onlyVersion.apply(service).filter(version -> !isContradicted(version, answers));
        if (recorded.size() == 1) {
            answer.accept(Source.INSTANCE, recorded.stream().findFirst());
        } else if (recorded.isEmpty() && only.isPresent()) {
            confirm(service, stream, only.get(), answers, answer);
        } else {
            readStore(service, stream, answer);
        }
    }

    private static boolean isContradicted(String version, Answers answers) {
        return answers.received().stream()
                .flatMap(received -> received.possible().stream())
                .anyMatch(possible -> !possible.equals(version));
    }

    private void confirm(
            ServiceName service,
            long stream,
            String version,
            Answers answers,
            BiConsumer<Source, Optional<String>> answer) {
        registry.confirmOnly(service, version, registered -> {
            // What the registry tells may have changed what this instance takes for possible.
            boolean isOnly = onlyVersion.apply(service).filter(version::equals).isPresent()
                    && registered.orElseGet(() -> isAgreedByAll(version, answers));
            if (isOnly) {
                answer.accept(Source.ONLY_VERSION, Optional.of(version));
            } else {
                readStore(service, stream, answer);
            }
        });
    }

    /** While the store is away no version can join, so the agreement of all registered instances takes its place. */
    private static boolean isAgreedByAll(String version, Answers answers) {
        return answers.areFromAll()
                && answers.received().stream()
                        .anyMatch(received -> received.possible().contains(version));
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

    /** The versions that may begin streams, which are in the store before the first of them does. */
    @FunctionalInterface
    interface Registry {

        /** Reads the registry; calls back with whether it names the version alone, or with nothing if it cannot be read. */
        void confirmOnly(ServiceName service, String version, Consumer<Optional<Boolean>> onConfirmed);
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
