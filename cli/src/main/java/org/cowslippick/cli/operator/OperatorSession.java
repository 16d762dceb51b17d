package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.http.RatpackHttpClient;
import org.cowslippick.fleet.settings.CommitRecord;

/** The connections that one operator's command uses. */
final class OperatorSession implements AutoCloseable {

    private static final String OPERATOR_NAME = System.getProperty("user.name", "unknown");
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private final OperatorOptions options;
    private final RatpackHttpClient httpClient = new RatpackHttpClient(READ_TIMEOUT);
    private final Optional<PlatformSession> platform;

    private OperatorSession(OperatorOptions options) {
        this.options = options;
        this.platform = options.platform().map(PlatformSession::new);
    }

    /** Calls the function with a new session and closes the session afterwards. */
    static <T> Either<CommandFailure, T> run(
            Invocation invocation, Function<OperatorSession, Either<CommandFailure, T>> function) {
        return OperatorOptions.parse(invocation).flatMap(options -> {
            try (OperatorSession session = new OperatorSession(options)) {
                return function.apply(session);
            }
        });
    }

    /** Gets the path from every entry. Fails only if every entry fails. */
    Either<CommandFailure, EntryResponses> getFromEveryEntry(String path) {
        return entries().flatMap(entries -> {
            ImmutableList<Either<CommandFailure, JsonNode>> results =
                    entries.stream().map(entry -> entry.get(path)).collect(ImmutableList.toImmutableList());
            ImmutableList<CommandFailure> failures = results.stream()
                    .filter(Either::isLeft)
                    .map(Either::getLeft)
                    .collect(ImmutableList.toImmutableList());
            return failures.size() == results.size()
                    ? Either.left(combine(failures))
                    : Either.right(new EntryResponses(bodies(results), lines(failures)));
        });
    }

    /** Gets the path from the first entry that can be reached. */
    Either<CommandFailure, JsonNode> getFromFirstReachableEntry(String path) {
        return entries().flatMap(entries -> FirstReachable.call(entries, entry -> entry.get(path)));
    }

    /** The entry that the command line names; fails unless it names exactly one. */
    Either<CommandFailure, EntryApi> singleEntry() {
        return options.entries().size() == 1
                ? Either.right(entryApi(options.entries().get(0)))
                : Either.left(CommandFailure.usage("option --entry must name one entry"));
    }

    /** The latest commits. Only the platform provides the history, not an entry. */
    Either<CommandFailure, ImmutableList<CommitRecord>> history() {
        return platform.map(session -> session.settings(OPERATOR_NAME).history())
                .orElseGet(() -> Either.left(CommandFailure.usage("option --platform is missing")));
    }

    /** The entries that the command line names, or those that the platform lists if it names none. */
    private Either<CommandFailure, ImmutableList<EntryApi>> entries() {
        Either<CommandFailure, ImmutableList<HostAndPort>> addresses = platform.filter(
                        _session -> options.entries().isEmpty())
                .map(PlatformSession::entryAddresses)
                .orElseGet(() -> Either.right(options.entries()));
        return addresses
                .map(listed -> listed.stream().map(this::entryApi).collect(ImmutableList.toImmutableList()))
                .filterOrElse(
                        listed -> !listed.isEmpty(),
                        _none -> CommandFailure.of(ExitCode.UNREACHABLE, "the platform lists no instance"));
    }

    private EntryApi entryApi(HostAndPort address) {
        return new EntryApi(address, httpClient, options.credential());
    }

    private static ImmutableList<JsonNode> bodies(ImmutableList<Either<CommandFailure, JsonNode>> results) {
        return results.stream().filter(Either::isRight).map(Either::get).collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<String> lines(ImmutableList<CommandFailure> failures) {
        return failures.stream().flatMap(failure -> failure.lines().stream()).collect(ImmutableList.toImmutableList());
    }

    private static CommandFailure combine(ImmutableList<CommandFailure> failures) {
        return new CommandFailure(failures.get(0).exitCode(), lines(failures));
    }

    SettingsEditor settings() {
        Stream<SettingsAccess> entries =
                options.entries().stream().map(address -> new EntrySettingsAccess(entryApi(address)));
        Stream<SettingsAccess> platforms = platform.stream().map(session -> session.settings(OPERATOR_NAME));
        return new SettingsEditor(
                new FallbackSettingsAccess(Stream.concat(entries, platforms).collect(ImmutableList.toImmutableList())));
    }

    @Override
    public void close() {
        platform.ifPresent(PlatformSession::close);
        httpClient.close();
    }
}
