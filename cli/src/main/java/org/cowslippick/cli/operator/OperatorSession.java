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
import org.cowslippick.cli.http.HttpCalls;
import org.cowslippick.fleet.settings.CommitRecord;

/** The connections of one operator's command. */
final class OperatorSession implements AutoCloseable {

    private static final String OPERATOR = System.getProperty("user.name", "unknown");
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private final OperatorOptions options;
    private final HttpCalls calls = new HttpCalls(READ_TIMEOUT);
    private final Optional<PlatformSession> platform;

    private OperatorSession(OperatorOptions options) {
        this.options = options;
        this.platform = options.platform().map(PlatformSession::new);
    }

    /** Runs the work with a session that is closed afterwards. */
    static <T> Either<CommandFailure, T> run(
            Invocation invocation, Function<OperatorSession, Either<CommandFailure, T>> work) {
        return OperatorOptions.of(invocation).flatMap(options -> {
            try (OperatorSession session = new OperatorSession(options)) {
                return work.apply(session);
            }
        });
    }

    /** Makes the same read of every entry; fails only if none answers. */
    Either<CommandFailure, EveryEntry> fromEveryEntry(String path) {
        return entries().flatMap(entries -> {
            ImmutableList<Either<CommandFailure, JsonNode>> answers =
                    entries.stream().map(entry -> entry.get(path)).collect(ImmutableList.toImmutableList());
            ImmutableList<CommandFailure> failures = answers.stream()
                    .filter(Either::isLeft)
                    .map(Either::getLeft)
                    .collect(ImmutableList.toImmutableList());
            return failures.size() == answers.size()
                    ? Either.left(all(failures))
                    : Either.right(new EveryEntry(bodies(answers), lines(failures)));
        });
    }

    /** Makes a read of the first entry that can be reached. */
    Either<CommandFailure, JsonNode> fromAnyEntry(String path) {
        return entries().flatMap(entries -> FirstReachable.of(entries, entry -> entry.get(path)));
    }

    /** The one entry that the command line names. */
    Either<CommandFailure, EntryApi> onlyEntry() {
        return options.entries().size() == 1
                ? Either.right(entry(options.entries().get(0)))
                : Either.left(CommandFailure.usage("option --entry must name one entry"));
    }

    /** The last commits, which only the platform keeps. */
    Either<CommandFailure, ImmutableList<CommitRecord>> history() {
        return platform.map(session -> session.settings(OPERATOR).history())
                .orElseGet(() -> Either.left(CommandFailure.usage("option --platform is missing")));
    }

    /** The entries of the command line, or else those that the platform lists. */
    private Either<CommandFailure, ImmutableList<EntryApi>> entries() {
        Either<CommandFailure, ImmutableList<HostAndPort>> addresses = platform.filter(
                        _session -> options.entries().isEmpty())
                .map(PlatformSession::entries)
                .orElseGet(() -> Either.right(options.entries()));
        return addresses
                .map(found -> found.stream().map(this::entry).collect(ImmutableList.toImmutableList()))
                .filterOrElse(
                        found -> !found.isEmpty(),
                        _none -> CommandFailure.of(ExitCode.UNREACHABLE, "the platform lists no instance"));
    }

    private EntryApi entry(HostAndPort address) {
        return new EntryApi(address, calls, options.credential());
    }

    private static ImmutableList<JsonNode> bodies(ImmutableList<Either<CommandFailure, JsonNode>> answers) {
        return answers.stream().filter(Either::isRight).map(Either::get).collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<String> lines(ImmutableList<CommandFailure> failures) {
        return failures.stream().flatMap(failure -> failure.lines().stream()).collect(ImmutableList.toImmutableList());
    }

    private static CommandFailure all(ImmutableList<CommandFailure> failures) {
        return new CommandFailure(failures.get(0).exitCode(), lines(failures));
    }

    SettingsEditor settings() {
        Stream<SettingsAccess> entries =
                options.entries().stream().map(address -> new EntrySettingsAccess(entry(address)));
        Stream<SettingsAccess> platforms = platform.stream().map(session -> session.settings(OPERATOR));
        return new SettingsEditor(
                new FallbackSettingsAccess(Stream.concat(entries, platforms).collect(ImmutableList.toImmutableList())));
    }

    @Override
    public void close() {
        platform.ifPresent(PlatformSession::close);
        calls.close();
    }
}
