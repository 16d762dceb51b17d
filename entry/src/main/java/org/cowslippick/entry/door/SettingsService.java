package org.cowslippick.entry.door;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.SettingsDocument;

/** Reads and commits the settings for operators. */
public interface SettingsService {

    /** The settings in force at this entry. */
    Current current();

    /** Commits a document that was made from the base revision; returns the new revision. */
    CompletableFuture<Either<Rejection, Long>> commit(long baseRevision, SettingsDocument document, String operator);

    /** A revision with its document. */
    record Current(long revision, SettingsDocument document) {}

    /** Why a commit was not made, with every fault and every conflicting change. */
    record Rejection(Failure failure, ImmutableList<String> faults, ImmutableList<String> changes) {}
}
