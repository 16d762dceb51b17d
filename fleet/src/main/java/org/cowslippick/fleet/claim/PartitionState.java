package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/** The claims of one partition: which attempt holds which identity. */
public record PartitionState(ImmutableMap<ClaimIdentity, StoredClaim> claims) {

    public static final PartitionState EMPTY = new PartitionState(ImmutableMap.of());

    /** Works out what the operations, one after another, make of this state. */
    public PartitionPlan plan(ImmutableList<ClaimOperation> operations, Instant now) {
        Map<ClaimIdentity, StoredClaim> changed = claims.entrySet().stream()
                .filter(entry -> !entry.getValue().expired(now))
                .collect(Collectors.toMap(
                        Map.Entry::getKey, Map.Entry::getValue, (first, _second) -> first, LinkedHashMap::new));
        ImmutableMap<ClaimIdentity, StoredClaim> unexpired = ImmutableMap.copyOf(changed);
        ImmutableList<ClaimOperationResult> verdicts = operations.stream()
                .map(operation -> new ClaimOperationResult(operation, apply(operation, changed, now)))
                .collect(ImmutableList.toImmutableList());
        return new PartitionPlan(
                new PartitionState(ImmutableMap.copyOf(changed)), !changed.equals(unexpired), verdicts);
    }

    private static ClaimOperationResult.Kind apply(
            ClaimOperation operation, Map<ClaimIdentity, StoredClaim> claims, Instant now) {
        return switch (operation.kind()) {
            case CLAIM -> claim(operation, claims, now);
            case RELEASE -> release(operation, claims);
        };
    }

    private static ClaimOperationResult.Kind claim(
            ClaimOperation operation, Map<ClaimIdentity, StoredClaim> claims, Instant now) {
        StoredClaim standing =
                claims.computeIfAbsent(operation.identity(), _identity -> new StoredClaim(operation.request(), now));
        return standing.holder().equals(operation.request())
                ? ClaimOperationResult.Kind.GRANTED
                : ClaimOperationResult.Kind.HELD_BY_OTHER;
    }

    private static ClaimOperationResult.Kind release(ClaimOperation operation, Map<ClaimIdentity, StoredClaim> claims) {
        claims.computeIfPresent(
                operation.identity(),
                (_identity, standing) -> Objects.equals(standing.holder(), operation.request()) ? null : standing);
        return ClaimOperationResult.Kind.RELEASED;
    }
}
