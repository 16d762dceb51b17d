package org.cowslippick.entry.http;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.SettingsDocument;

/** Reads and commits the settings for operators. */
public interface SettingsService {

    /** The settings in force at this entry. */
    CurrentSettings current();

    /** Commits a document that was edited from the base revision; returns the new revision. */
    CompletableFuture<Either<Rejection, Long>> commit(long baseRevision, SettingsDocument document, String operator);

    /** A settings document and its revision. */
    record CurrentSettings(long revision, SettingsDocument document) {}

    /** The reason for rejecting a commit, with every fault and every conflicting change. */
    record Rejection(Failure failure, ImmutableList<String> faults, ImmutableList<String> changes) {}
}
