package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.cowslippick.core.request.RequestId;

/** The bounded table of claims that this entry's incarnation was granted, and of how far each has come. */
final class LocalClaimTable {

    private final int capacity;
    private final ConcurrentHashMap<ClaimIdentity, LocalClaim> byIdentity = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, ClaimIdentity> byRequest = new ConcurrentHashMap<>();
    private final AtomicReference<Instant> forgottenTicketExpiry = new AtomicReference<>(Instant.MIN);

    LocalClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /** Whether the table has no room; it never forgets a claim early to make room. */
    boolean full() {
        return byIdentity.size() >= capacity;
    }

    /** Adds the claim unless its identity is held; returns the holder if so. */
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

    /** Moves the claim of the request on, if it is there and in a phase that allows it. */
    Optional<LocalClaim> advance(RequestId request, Predicate<LocalClaim> allowed, ClaimPhase next) {
        return change(request, allowed, claim -> claim.in(next));
    }

    /** Takes the claim of the request out, if it is there and in a phase that allows it. */
    Optional<LocalClaim> remove(RequestId request, Predicate<LocalClaim> allowed) {
        Optional<LocalClaim> removed = change(request, allowed, _claim -> null);
        removed.ifPresent(claim -> byRequest.remove(claim.request()));
        return removed;
    }

    /** Whether claims under tickets of this expiry may have been forgotten. */
    boolean mayHaveForgotten(Instant ticketExpiry) {
        return !ticketExpiry.isAfter(forgottenTicketExpiry.get());
    }

    /** Forgets claims whose time is over. */
    void sweep(long nowNanos) {
        ImmutableList<LocalClaim> over = byIdentity.values().stream()
                .filter(claim -> claim.over(nowNanos))
                .collect(ImmutableList.toImmutableList());
        // Noted before anything is forgotten, so that a claim in between is refused.
        over.stream()
                .map(LocalClaim::ticketExpiry)
                .<Instant>mapMulti(Optional::ifPresent)
                .forEach(this::noteForgotten);
        over.forEach(claim -> {
            byIdentity.remove(claim.identity());
            byRequest.remove(claim.request());
        });
    }

    private void noteForgotten(Instant expiry) {
        forgottenTicketExpiry.accumulateAndGet(expiry, (known, other) -> known.isBefore(other) ? other : known);
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
