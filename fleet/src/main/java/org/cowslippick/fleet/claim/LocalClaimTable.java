package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.cowslippick.core.request.RequestId;

/** The bounded table of the claims granted to this incarnation of the entry, with the phase of each. */
final class LocalClaimTable {

    private final int capacity;
    private final ConcurrentHashMap<ClaimIdentity, LocalClaim> byIdentity = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, ClaimIdentity> byRequest = new ConcurrentHashMap<>();
    private final AtomicReference<Instant> latestEvictedExpiry = new AtomicReference<>(Instant.MIN);

    LocalClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /** Whether the table is full; unexpired claims are never evicted to make room. */
    boolean isFull() {
        return byIdentity.size() >= capacity;
    }

    /** Adds the claim unless its identity is already claimed, in which case the present claim is returned. */
    Optional<LocalClaim> add(LocalClaim claim) {
        Optional<LocalClaim> holder = Optional.ofNullable(byIdentity.putIfAbsent(claim.identity(), claim));
        if (holder.isEmpty()) {
            byRequest.put(claim.request(), claim.identity());
        }
        return holder;
    }

    Optional<LocalClaim> find(ClaimIdentity identity) {
        return Optional.ofNullable(byIdentity.get(identity));
    }

    /** Sets the phase of the request's claim if it is present and allowed to change. */
    Optional<LocalClaim> advance(RequestId request, Predicate<LocalClaim> allowed, ClaimPhase next) {
        return change(request, allowed, claim -> claim.withPhase(next));
    }

    /** Removes the request's claim if it is present and allowed to be removed. */
    Optional<LocalClaim> remove(RequestId request, Predicate<LocalClaim> allowed) {
        Optional<LocalClaim> removed = change(request, allowed, _claim -> null);
        removed.ifPresent(claim -> byRequest.remove(claim.request()));
        return removed;
    }

    /** Whether claims under tickets with this expiry may have been evicted. */
    boolean mayHaveEvicted(Instant ticketExpiry) {
        return !ticketExpiry.isAfter(latestEvictedExpiry.get());
    }

    /** Evicts expired claims. */
    void sweep(long nowNanos) {
        ImmutableList<LocalClaim> expired = byIdentity.values().stream()
                .filter(claim -> claim.isExpired(nowNanos))
                .collect(ImmutableList.toImmutableList());
        // Recorded before the eviction, so that a concurrent claim of an evicted identity is refused.
        expired.stream()
                .map(LocalClaim::ticketExpiry)
                .<Instant>mapMulti(Optional::ifPresent)
                .forEach(this::recordEviction);
        expired.forEach(claim -> {
            byIdentity.remove(claim.identity());
            byRequest.remove(claim.request());
        });
    }

    private void recordEviction(Instant expiry) {
        latestEvictedExpiry.accumulateAndGet(expiry, (known, other) -> known.isBefore(other) ? other : known);
    }

    private Optional<LocalClaim> change(
            RequestId request, Predicate<LocalClaim> allowed, UnaryOperator<LocalClaim> next) {
        ClaimIdentity identity = byRequest.get(request);
        if (identity == null) {
            return Optional.empty();
        }
        AtomicReference<LocalClaim> before = new AtomicReference<>();
        byIdentity.computeIfPresent(identity, (_identity, claim) -> {
            if (!claim.request().equals(request) || !allowed.test(claim)) {
                return claim;
            }
            before.set(claim);
            return next.apply(claim);
        });
        return Optional.ofNullable(before.get());
    }
}
