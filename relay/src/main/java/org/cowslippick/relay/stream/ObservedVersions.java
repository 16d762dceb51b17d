package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What an instance knows of the versions of a service, from which it decides what the store's entry must hold.
 *
 * @param present those with endpoints, whose entries the instance keeps
 * @param possible those that may have begun streams
 * @param recent those that were present too recently to be removed, or of which the store named another confirmation
 */
record ObservedVersions(
        ImmutableSet<String> present,
        ImmutableSet<String> possible,
        ImmutableSet<String> recent,
        long nowMilliseconds) {

    /** How long a version must have been absent at least before it is removed. */
    static final Duration REMOVAL_AGE = Duration.ofSeconds(60);

    /** Beyond the window, as instances learn of endpoints at different times. */
    static final Duration REMOVAL_MARGIN = Duration.ofSeconds(10);

    /** So much younger than the removal age that no removal conditional on an older entry is on its way. */
    private static final Duration FRESH_AGE = Duration.ofSeconds(10);

    /** The present versions that the entry confirms, as no instance removes them soon. */
    ImmutableSet<String> confirmedBy(RegisteredVersions entry) {
        return present.stream().filter(version -> isFresh(entry, version)).collect(ImmutableSet.toImmutableSet());
    }

    /**
     * The versions that the entry names although no stream is of them any more. The age that the entry states is not
     * enough: it counts from the last confirmation, which a version may have outlived by any time.
     */
    ImmutableSet<String> outdatedIn(RegisteredVersions entry) {
        return entry.lastPresent().entrySet().stream()
                .filter(version -> nowMilliseconds - version.getValue() > REMOVAL_AGE.toMillis())
                .map(Map.Entry::getKey)
                .filter(version -> !recent.contains(version) && !possible.contains(version))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * The entry to write in place of the present one, if that lacks a possible version or the confirmation of one of the
     * given ones, or if outdated ones are to be removed by a write of their own.
     */
    Optional<RegisteredVersions> replacement(RegisteredVersions entry, Set<String> unconfirmed, boolean isRemovalDue) {
        boolean isIncomplete = !confirmedBy(entry).containsAll(unconfirmed)
                || !entry.lastPresent().keySet().containsAll(possible);
        return Optional.of(merge(entry))
                .filter(_merged ->
                        isIncomplete || (isRemovalDue && !outdatedIn(entry).isEmpty()));
    }

    private RegisteredVersions merge(RegisteredVersions entry) {
        Map<String, Long> merged = new LinkedHashMap<>(entry.lastPresent());
        merged.keySet().removeAll(outdatedIn(entry));
        Sets.difference(present, confirmedBy(entry)).forEach(version -> merged.put(version, nowMilliseconds));
        possible.forEach(version -> merged.putIfAbsent(version, nowMilliseconds));
        return new RegisteredVersions(entry.service(), entry.revision(), ImmutableMap.copyOf(merged));
    }

    private boolean isFresh(RegisteredVersions entry, String version) {
        return Optional.ofNullable(entry.lastPresent().get(version))
                .filter(lastPresent -> nowMilliseconds - lastPresent < FRESH_AGE.toMillis())
                .isPresent();
    }
}
