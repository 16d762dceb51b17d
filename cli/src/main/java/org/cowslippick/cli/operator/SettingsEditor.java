package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.core.settings.SettingChange;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsTree;

/** Changes the settings: reads them, validates the changed tree and commits it against the revision that was read. */
final class SettingsEditor {

    private final SettingsAccess access;

    SettingsEditor(SettingsAccess access) {
        this.access = access;
    }

    Either<CommandFailure, CurrentSettings> read() {
        return access.read();
    }

    Either<CommandFailure, SettingsEditResult> edit(
            Function<SettingsDocument, Either<CommandFailure, SettingsDocument>> change) {
        return access.read().flatMap(base -> change.apply(base.document()).flatMap(changed -> commit(base, changed)));
    }

    /** Validates and commits a changed document against the base. Commits nothing if it equals the base. */
    Either<CommandFailure, SettingsEditResult> commit(CurrentSettings base, SettingsDocument changed) {
        ImmutableList<SettingChange> changes = base.document().changesTo(changed);
        if (changes.isEmpty()) {
            return Either.right(new SettingsEditResult(base.revision(), changes));
        }
        Either<CommandFailure, Long> committed =
                validate(changed).flatMap(_tree -> access.commit(base.revision(), changed));
        return committed.fold(
                failure -> handleCommitFailure(failure, base, changed, changes),
                revision -> Either.right(new SettingsEditResult(revision, changes)));
    }

    private Either<CommandFailure, SettingsEditResult> handleCommitFailure(
            CommandFailure failure,
            CurrentSettings base,
            SettingsDocument changed,
            ImmutableList<SettingChange> changes) {
        return switch (failure.exitCode()) {
            case CONFLICT -> Either.left(describeConflict(failure, base));
            case OUTCOME_UNKNOWN -> readBack(failure, base, changed, changes);
            default -> Either.left(failure);
        };
    }

    private CommandFailure describeConflict(CommandFailure failure, CurrentSettings base) {
        Stream<String> changedMeanwhile = access.read()
                .map(current -> base.document().changesTo(current.document()).stream()
                        .map(change -> "changed meanwhile: " + change))
                .getOrElse(Stream::empty);
        return new CommandFailure(
                ExitCode.CONFLICT,
                Stream.concat(failure.lines().stream(), changedMeanwhile).collect(ImmutableList.toImmutableList()));
    }

    /**
     * Reads the settings after a commit whose response was lost. If they equal the changed document under a later
     * revision, the commit took effect; otherwise its outcome stays unknown, since it may still take effect.
     */
    private Either<CommandFailure, SettingsEditResult> readBack(
            CommandFailure failure,
            CurrentSettings base,
            SettingsDocument changed,
            ImmutableList<SettingChange> changes) {
        return access.read()
                .mapLeft(_unreadable -> failure)
                .filterOrElse(
                        current -> current.revision() > base.revision()
                                && current.document().equals(changed),
                        _other -> failure)
                .map(current -> new SettingsEditResult(current.revision(), changes));
    }

    private static Either<CommandFailure, SettingsTree> validate(SettingsDocument document) {
        return SettingsTree.of(document)
                .mapLeft(faults -> new CommandFailure(
                        ExitCode.REFUSED,
                        faults.stream().map(Object::toString).collect(ImmutableList.toImmutableList())));
    }
}
