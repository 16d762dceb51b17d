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

/** Reads the settings, changes them, checks the whole and commits it against the revision that was read. */
final class SettingsEditor {

    private final SettingsAccess access;

    SettingsEditor(SettingsAccess access) {
        this.access = access;
    }

    Either<CommandFailure, CurrentSettings> read() {
        return access.read();
    }

    Either<CommandFailure, SettingsEdit> edit(
            Function<SettingsDocument, Either<CommandFailure, SettingsDocument>> change) {
        return access.read().flatMap(base -> change.apply(base.document()).flatMap(changed -> commit(base, changed)));
    }

    /** Commits a changed document over the base, or says why it cannot. */
    Either<CommandFailure, SettingsEdit> commit(CurrentSettings base, SettingsDocument changed) {
        ImmutableList<SettingChange> changes = base.document().changesTo(changed);
        if (changes.isEmpty()) {
            return Either.right(new SettingsEdit(base.revision(), changes));
        }
        Either<CommandFailure, Long> committed =
                check(changed).flatMap(_tree -> access.commit(base.revision(), changed));
        return committed.fold(
                failure -> afterFailure(failure, base, changed, changes),
                revision -> Either.right(new SettingsEdit(revision, changes)));
    }

    private Either<CommandFailure, SettingsEdit> afterFailure(
            CommandFailure failure,
            CurrentSettings base,
            SettingsDocument changed,
            ImmutableList<SettingChange> changes) {
        return switch (failure.exitCode()) {
            case CONFLICT -> Either.left(conflict(failure, base));
            case OUTCOME_UNKNOWN -> readBack(failure, base, changed, changes);
            default -> Either.left(failure);
        };
    }

    private CommandFailure conflict(CommandFailure failure, CurrentSettings base) {
        Stream<String> changedMeanwhile = access.read()
                .map(current -> base.document().changesTo(current.document()).stream()
                        .map(change -> "changed meanwhile: " + change))
                .getOrElse(Stream::empty);
        return new CommandFailure(
                ExitCode.CONFLICT,
                Stream.concat(failure.lines().stream(), changedMeanwhile).collect(ImmutableList.toImmutableList()));
    }

    /** A commit whose answer was lost holds if the settings now are the changed ones; otherwise it may still come. */
    private Either<CommandFailure, SettingsEdit> readBack(
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
                .map(current -> new SettingsEdit(current.revision(), changes));
    }

    private static Either<CommandFailure, SettingsTree> check(SettingsDocument document) {
        return SettingsTree.of(document)
                .mapLeft(faults -> new CommandFailure(
                        ExitCode.REFUSED,
                        faults.stream().map(Object::toString).collect(ImmutableList.toImmutableList())));
    }
}
