package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.stream.Stream;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.settings.CommitRecord;
import org.cowslippick.fleet.settings.SettingsProposal;
import org.cowslippick.fleet.settings.SettingsRejection;
import org.cowslippick.fleet.settings.SettingsSnapshot;
import org.cowslippick.fleet.settings.SettingsStore;

/** Reads and commits settings directly through the platform's object API. */
final class PlatformSettingsAccess implements SettingsAccess {

    private final SettingsStore store;
    private final String operator;

    /** Creates the access; commits are recorded under the operator's name. */
    PlatformSettingsAccess(SettingsStore store, String operator) {
        this.store = store;
        this.operator = operator;
    }

    @Override
    public Either<CommandFailure, CurrentSettings> read() {
        return load().map(snapshot ->
                new CurrentSettings(snapshot.revision(), snapshot.tree().document()));
    }

    @Override
    public Either<CommandFailure, Long> commit(long baseRevision, SettingsDocument changed) {
        return store.commit(new SettingsProposal(baseRevision, changed, operator))
                .join()
                .mapLeft(PlatformSettingsAccess::toCommandFailure);
    }

    /** The latest commits, newest first. */
    Either<CommandFailure, ImmutableList<CommitRecord>> history() {
        return load().map(snapshot -> ImmutableList.copyOf(snapshot.root().history()));
    }

    private Either<CommandFailure, SettingsSnapshot> load() {
        return store.load().join().mapLeft(PlatformSettingsAccess::toCommandFailure);
    }

    private static CommandFailure toCommandFailure(PlatformFault fault) {
        return CommandFailure.of(ExitCode.UNREACHABLE, "the platform gave no settings: " + fault);
    }

    private static CommandFailure toCommandFailure(SettingsRejection rejection) {
        Stream<String> faults = rejection.faults().stream().map(Object::toString);
        return new CommandFailure(
                exitCode(rejection),
                Stream.concat(Stream.of("the platform: " + rejection.failure().detail()), faults)
                        .collect(ImmutableList.toImmutableList()));
    }

    private static ExitCode exitCode(SettingsRejection rejection) {
        return switch (rejection.failure().kind()) {
            case SETTINGS_CONFLICT -> ExitCode.CONFLICT;
            case SETTINGS_OUTCOME_UNKNOWN -> ExitCode.OUTCOME_UNKNOWN;
            case PLATFORM_UNAVAILABLE -> ExitCode.UNREACHABLE;
            default -> ExitCode.REFUSED;
        };
    }
}
