package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsFault;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.entry.http.SettingsService;
import org.cowslippick.fleet.settings.SettingsProposal;
import org.cowslippick.fleet.settings.SettingsRejection;
import org.cowslippick.fleet.settings.SettingsReplica;
import org.cowslippick.fleet.settings.SettingsSnapshot;
import org.cowslippick.fleet.settings.SettingsStore;

/** Reads settings from the replica and commits them to the store; this entry applies a commit before it responds. */
final class EntrySettingsService implements SettingsService {

    private final SettingsReplica replica;
    private final SettingsStore store;
    private final Timeline timeline;

    EntrySettingsService(SettingsReplica replica, SettingsStore store, Timeline timeline) {
        this.replica = replica;
        this.store = store;
        this.timeline = timeline;
    }

    @Override
    public CurrentSettings current() {
        SettingsSnapshot snapshot = replica.current();
        return new CurrentSettings(snapshot.revision(), snapshot.tree().document());
    }

    @Override
    public CompletableFuture<Either<Rejection, Long>> commit(
            long baseRevision, SettingsDocument document, String operator) {
        return store.commit(new SettingsProposal(baseRevision, document, operator))
                .thenCompose(result -> result.fold(
                        rejection -> CompletableFuture.completedFuture(Either.left(toRejection(rejection))),
                        this::applyCommitted));
    }

    private CompletableFuture<Either<Rejection, Long>> applyCommitted(long revision) {
        timeline.record(EventKind.SETTINGS_COMMITTED, "revision " + revision);
        return replica.refresh().thenApply(_snapshot -> Either.right(revision));
    }

    private static Rejection toRejection(SettingsRejection rejection) {
        return new Rejection(
                rejection.failure(),
                rejection.faults().stream().map(SettingsFault::toString).collect(ImmutableList.toImmutableList()),
                rejection.conflicts());
    }
}
