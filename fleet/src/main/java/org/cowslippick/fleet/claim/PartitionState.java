package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/** The claims of one partition, by identity. */
public record PartitionState(ImmutableMap<ClaimIdentity, StoredClaim> claims) {

    public static final PartitionState EMPTY = new PartitionState(ImmutableMap.of());

    /** Plans the state that results from applying the operations in order. */
    public PartitionPlan plan(ImmutableList<ClaimOperation> operations, Instant now) {
        Map<ClaimIdentity, StoredClaim> next = claims.entrySet().stream()
                .filter(entry -> !entry.getValue().isExpired(now))
                .collect(Collectors.toMap(
                        Map.Entry::getKey, Map.Entry::getValue, (first, _second) -> first, LinkedHashMap::new));
        ImmutableMap<ClaimIdentity, StoredClaim> unexpired = ImmutableMap.copyOf(next);
        ImmutableList<ClaimOperationResult> results = operations.stream()
                .map(operation -> new ClaimOperationResult(operation, apply(operation, next, now)))
                .collect(ImmutableList.toImmutableList());
        return new PartitionPlan(new PartitionState(ImmutableMap.copyOf(next)), !next.equals(unexpired), results);
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
        StoredClaim present =
                claims.computeIfAbsent(operation.identity(), _identity -> new StoredClaim(operation.request(), now));
        return present.holder().equals(operation.request())
                ? ClaimOperationResult.Kind.GRANTED
                : ClaimOperationResult.Kind.HELD_BY_OTHER;
    }

    private static ClaimOperationResult.Kind release(ClaimOperation operation, Map<ClaimIdentity, StoredClaim> claims) {
        claims.computeIfPresent(
                operation.identity(),
                (_identity, present) -> Objects.equals(present.holder(), operation.request()) ? null : present);
        return ClaimOperationResult.Kind.RELEASED;
    }
}
