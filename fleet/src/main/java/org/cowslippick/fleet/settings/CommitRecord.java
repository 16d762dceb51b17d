package org.cowslippick.fleet.settings;

import java.util.List;

/**
 * One commit in the history of the settings.
 *
 * @param token chosen by the committer, which finds its own commit by it after a lost response
 * @param atMilliseconds wall-clock time in milliseconds since 1970
 * @param changes the first changed settings as {@code [section] key: before -> after}
 * @param changeCount the total number of changed settings
 */
public record CommitRecord(
        long revision, String token, String operator, long atMilliseconds, List<String> changes, int changeCount) {}
