package org.cowslippick.cli.operator;

import io.vavr.control.Either;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.core.settings.SettingsDocument;

/** Reads and commits the settings. */
interface SettingsAccess {

    Either<CommandFailure, CurrentSettings> read();

    /** Commits the document if the current revision is still the base, and returns the new revision. */
    Either<CommandFailure, Long> commit(long baseRevision, SettingsDocument changed);
}
