package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsFault;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.entry.door.SettingsService;
import org.cowslippick.fleet.settings.SettingsProposal;
import org.cowslippick.fleet.settings.SettingsRejection;
import org.cowslippick.fleet.settings.SettingsReplica;
import org.cowslippick.fleet.settings.SettingsSnapshot;
import org.cowslippick.fleet.settings.SettingsStore;

/** Shows the replica's settings and commits to the store, which this entry then applies at once. */
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
    public Current current() {
        SettingsSnapshot snapshot = replica.current();
        return new Current(snapshot.revision(), snapshot.tree().document());
    }

    @Override
    public CompletableFuture<Either<Rejection, Long>> commit(
            long baseRevision, SettingsDocument document, String operator) {
        return store.commit(new SettingsProposal(baseRevision, document, operator))
                .thenCompose(result -> result.fold(
                        rejection -> CompletableFuture.completedFuture(Either.left(rejected(rejection))),
                        this::committed));
    }

    private CompletableFuture<Either<Rejection, Long>> committed(long revision) {
        timeline.record(EventKind.SETTINGS_COMMITTED, "revision " + revision);
        return replica.refresh().thenApply(_applied -> Either.right(revision));
    }

    private static Rejection rejected(SettingsRejection rejection) {
        return new Rejection(
                rejection.failure(),
                rejection.faults().stream().map(SettingsFault::toString).collect(ImmutableList.toImmutableList()),
                rejection.conflicts());
    }
}
