package org.cowslippick.cli.operator;

import io.vavr.control.Either;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.core.settings.SettingsDocument;

/** One way to read and to change the settings. */
interface SettingsAccess {

    Either<CommandFailure, CurrentSettings> read();

    /** Commits the document if the revision still is the base; gives the new revision. */
    Either<CommandFailure, Long> commit(long baseRevision, SettingsDocument changed);
}
