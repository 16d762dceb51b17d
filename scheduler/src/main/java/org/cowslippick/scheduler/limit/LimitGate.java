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
 * Enforces one entry's share of all limits. A scope starts with an equal share and then uses the share allocated to it.
 * A share that is not renewed within 3 s expires and is replaced by an equal share. The allocator must therefore count
 * an entry as unreachable before it has been silent for 3 s, and must also send shares to entries without demand.
 *
 * <p>Over any interval T all entries together admit at most the limit times T, a burst of 0.25 s of the limit, and one
 * request per entry (for token limits, the tokens of one request per entry). They may admit less than the limit by the
 * demand that moved between entries since the last allocation, and by an equal share for each unreachable entry.
 */
public final class LimitGate {

    static final long SHARE_LIFETIME_NANOS = 3_000_000_000L;

    private record TimedShare(LimitShare share, long setAtNanos) {

        boolean isValid(long nowNanos) {
            return nowNanos - setAtNanos <= SHARE_LIFETIME_NANOS;
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

    /** Sets the number of entries among which scopes without an allocated share are divided. */
    public void setEntries(int newEntries) {
        entries = newEntries;
    }

    /**
     * Admits a request if all of its limits allow it. Each admitted request must be released with the same limits.
     */
    public Optional<Failure> tryAdmit(ImmutableList<Limits> limits, int tokens, long nowNanos) {
        ImmutableList<ScopeGate> gates =
                limits.stream().map(limit -> gate(limit, nowNanos)).collect(ImmutableList.toImmutableList());
        gates.forEach(gate -> gate.recordDemand(tokens, nowNanos));
        Optional<Failure> refusal = gates.stream()
                .map(gate -> gate.refusal(nowNanos))
                .<Failure>mapMulti(Optional::ifPresent)
                .findFirst();
        if (refusal.isEmpty()) {
            gates.forEach(gate -> gate.take(tokens, nowNanos));
        }
        return refusal;
    }

    /** Releases an admitted request that has ended. */
    public void release(ImmutableList<Limits> limits) {
        limits.stream().map(limit -> scopes.get(limit.scope())).forEach(ScopeGate::release);
    }

    /** Applies a newly allocated share. */
    public void apply(LimitShare share, long nowNanos) {
        shares.put(share.scope(), new TimedShare(share, nowNanos));
        Optional.ofNullable(scopes.get(share.scope())).ifPresent(gate -> gate.setShare(share, nowNanos));
    }

    /** Reports the demand in all active scopes to the allocator and drops idle scopes. */
    public ImmutableList<DemandReport> demand(long nowNanos) {
        scopes.values().removeIf(gate -> gate.isIdle(nowNanos));
        shares.values().removeIf(share -> !share.isValid(nowNanos));
        return scopes.entrySet().stream()
                .map(scope ->
                        new DemandReport(entry, scope.getKey(), scope.getValue().demand(nowNanos)))
                .collect(ImmutableList.toImmutableList());
    }

    private LimitShare initialShare(SectionName scope, long nowNanos) {
        return Optional.ofNullable(shares.get(scope))
                .filter(share -> share.isValid(nowNanos))
                .map(TimedShare::share)
                .orElseGet(() -> LimitShare.equal(entry, scope, entries));
    }

    private ScopeGate gate(Limits limits, long nowNanos) {
        ScopeGate gate = scopes.computeIfAbsent(
                limits.scope(), scope -> new ScopeGate(limits, initialShare(scope, nowNanos), nowNanos));
        gate.setLimits(limits, nowNanos);
        return gate;
    }
}
