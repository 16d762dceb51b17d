package org.cowslippick.scheduler.limit;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.world.InstanceName;

/**
 * Holds one entry's part of all limits. A scope starts with an equal part and takes the share that is allocated to it;
 * a share that is not renewed for 3 s gives way to an equal part. The allocator therefore counts an entry as unreachable
 * before it has been silent for 3 s, and sends shares to entries without demand, too.
 *
 * <p>Over any time T all entries together admit at most the limit times T, a quarter of a second's worth of it and one
 * request per entry; for tokens, one request's tokens per entry. Below the limit they may stay by what demand moved
 * between entries since the last allocation, and by an equal part for each entry that cannot be reached.
 */
public final class LimitGate {

    static final long SHARE_LIFETIME_NANOS = 3_000_000_000L;

    private record TimedShare(LimitShare share, long atNanos) {

        boolean fresh(long nowNanos) {
            return nowNanos - atNanos <= SHARE_LIFETIME_NANOS;
        }
    }

    private final InstanceName entry;
    private final Map<SectionName, TimedShare> shares = new HashMap<>();
    private final Map<SectionName, ScopeGate> scopes = new HashMap<>();
    private int entries;

    /** Creates a gate for an entry that shares all limits with {@code entries - 1} others. */
    public LimitGate(InstanceName entry, int entries) {
        this.entry = entry;
        this.entries = entries;
    }

    /** Sets how many entries share the scopes that get no share of their own. */
    public void setEntries(int newEntries) {
        entries = newEntries;
    }

    /**
     * Lets a request pass all of its limits or none. Every request that passed must be released with the same limits.
     */
    public Optional<Failure> tryAdmit(ImmutableList<Limits> limits, int tokens, long nowNanos) {
        ImmutableList<ScopeGate> gates =
                limits.stream().map(limit -> gate(limit, nowNanos)).collect(ImmutableList.toImmutableList());
        gates.forEach(gate -> gate.count(tokens, nowNanos));
        Optional<Failure> refusal = gates.stream()
                .map(gate -> gate.refusal(nowNanos))
                .<Failure>mapMulti(Optional::ifPresent)
                .findFirst();
        if (refusal.isEmpty()) {
            gates.forEach(gate -> gate.take(tokens, nowNanos));
        }
        return refusal;
    }

    /** A request that passed has ended. */
    public void release(ImmutableList<Limits> limits) {
        limits.stream().map(limit -> scopes.get(limit.scope())).forEach(ScopeGate::release);
    }

    /** Takes a newly allocated share. */
    public void apply(LimitShare share, long nowNanos) {
        shares.put(share.scope(), new TimedShare(share, nowNanos));
        Optional.ofNullable(scopes.get(share.scope())).ifPresent(gate -> gate.setShare(share, nowNanos));
    }

    /** The demand in all scopes in use, for the allocator; scopes out of use are forgotten. */
    public ImmutableList<DemandReport> demand(long nowNanos) {
        scopes.values().removeIf(gate -> gate.idle(nowNanos));
        shares.values().removeIf(share -> !share.fresh(nowNanos));
        return scopes.entrySet().stream()
                .map(scope ->
                        new DemandReport(entry, scope.getKey(), scope.getValue().demand(nowNanos)))
                .collect(ImmutableList.toImmutableList());
    }

    private LimitShare firstShare(SectionName scope, long nowNanos) {
        return Optional.ofNullable(shares.get(scope))
                .filter(share -> share.fresh(nowNanos))
                .map(TimedShare::share)
                .orElseGet(() -> LimitShare.equal(entry, scope, entries));
    }

    private ScopeGate gate(Limits limits, long nowNanos) {
        ScopeGate gate = scopes.computeIfAbsent(
                limits.scope(), scope -> new ScopeGate(limits, firstShare(scope, nowNanos), nowNanos));
        gate.setLimits(limits, nowNanos);
        return gate;
    }
}
