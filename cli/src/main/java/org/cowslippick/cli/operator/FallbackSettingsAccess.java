package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.core.settings.SettingsDocument;

/** Settings access through the first of several delegates that can be reached. */
final class FallbackSettingsAccess implements SettingsAccess {

    private final ImmutableList<SettingsAccess> delegates;

    FallbackSettingsAccess(ImmutableList<SettingsAccess> delegates) {
        this.delegates = delegates;
    }

    @Override
    public Either<CommandFailure, CurrentSettings> read() {
        return FirstReachable.call(delegates, SettingsAccess::read);
    }

    @Override
    public Either<CommandFailure, Long> commit(long baseRevision, SettingsDocument changed) {
        return FirstReachable.call(delegates, delegate -> delegate.commit(baseRevision, changed));
    }
}
