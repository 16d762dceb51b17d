package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.core.settings.SettingsDocument;

/** Tries several ways in turn; only one that certainly did nothing is followed by the next. */
final class FallbackSettingsAccess implements SettingsAccess {

    private final ImmutableList<SettingsAccess> ways;

    FallbackSettingsAccess(ImmutableList<SettingsAccess> ways) {
        this.ways = ways;
    }

    @Override
    public Either<CommandFailure, CurrentSettings> read() {
        return FirstReachable.of(ways, SettingsAccess::read);
    }

    @Override
    public Either<CommandFailure, Long> commit(long baseRevision, SettingsDocument changed) {
        return FirstReachable.of(ways, way -> way.commit(baseRevision, changed));
    }
}
