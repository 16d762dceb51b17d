package org.cowslippick.fleet.settings;

import java.util.List;

/**
 * One commit in the history.
 *
 * @param token chosen by the committer, to find its own commit again after a lost answer
 * @param atMilliseconds wall-clock time since 1970
 * @param changes the first changed settings as {@code [section] key: before -> after}
 * @param changeCount how many settings changed in all
 */
public record CommitRecord(
        long revision, String token, String operator, long atMilliseconds, List<String> changes, int changeCount) {}
