package org.cowslippick.fleet.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The root object of the settings, whose conditional update is the commit.
 *
 * @param chunks the names of the chunks that make up the document
 * @param history the most recent commits, newest first
 * @param collections the number of chunk collections; a collection changes the root's version but not its revision
 */
public record SettingsRoot(long revision, List<String> chunks, List<CommitRecord> history, long collections) {

    public static final SettingsRoot EMPTY = new SettingsRoot(0, ImmutableList.of(), ImmutableList.of(), 0);

    private static final int HISTORY_LENGTH = 50;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    SettingsRoot afterCommit(ImmutableList<String> nextChunks, CommitRecord commit) {
        ImmutableList<CommitRecord> nextHistory = Stream.concat(Stream.of(commit), history.stream())
                .limit(HISTORY_LENGTH)
                .collect(ImmutableList.toImmutableList());
        return new SettingsRoot(commit.revision(), nextChunks, nextHistory, collections);
    }

    SettingsRoot afterCollection() {
        return new SettingsRoot(revision, chunks, history, collections + 1);
    }

    /** Returns the revision created by the commit with the token, if the history still contains it. */
    Optional<Long> revisionOf(String token) {
        return history.stream()
                .filter(commit -> commit.token().equals(token))
                .map(CommitRecord::revision)
                .findFirst();
    }

    /** Returns the recorded commits after the revision, newest first. */
    ImmutableList<CommitRecord> commitsSince(long earlier) {
        return history.stream().filter(commit -> commit.revision() > earlier).collect(ImmutableList.toImmutableList());
    }

    String write() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    "settings root cannot be serialised as JSON: " + failure.getOriginalMessage(), failure);
        }
    }

    static Optional<SettingsRoot> read(String text) {
        try {
            return Optional.of(MAPPER.readValue(text, SettingsRoot.class));
        } catch (JsonProcessingException _damaged) {
            return Optional.empty();
        }
    }
}
