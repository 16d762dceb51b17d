package org.cowslippick.scheduler.pool;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;

/** Drives a pool and tracks the waiting and running requests that a correct pool must have. */
final class PoolHarness {

    private final PoolScheduler pool;
    private final Map<RequestId, RequestDescriptor> offered = new HashMap<>();
    private final Map<RequestId, RequestDescriptor> waiting = new LinkedHashMap<>();
    private final List<Grant> running = new ArrayList<>();
    private final List<Grant> grants = new ArrayList<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private final Multiset<RequestId> provablyNotStarted = HashMultiset.create();
    private final Multiset<RequestId> notSent = HashMultiset.create();
    private int shedInversions;
    private long nowNanos;

    PoolHarness(PoolScheduler pool, int endpoints, int concurrency) {
        this.pool = pool;
        pool.replaceEndpoints(Samples.endpoints(endpoints, concurrency), 0);
    }

    long nowNanos() {
        return nowNanos;
    }

    void advance(long nanos) {
        nowNanos += nanos;
        apply(pool.advance(nowNanos));
    }

    void offer(RequestDescriptor request) {
        offered.put(request.id(), request);
        waiting.put(request.id(), request);
        apply(pool.offer(request, nowNanos));
    }

    void withdraw(RequestId id) {
        waiting.remove(id);
        running.removeIf(grant -> grant.request().equals(id));
        apply(pool.withdraw(id, nowNanos));
    }

    void report(Grant grant, DispatchPhase phase) {
        if (phase.hasEnded()) {
            running.remove(grant);
        }
        if (phase == DispatchPhase.NOT_SENT) {
            notSent.add(grant.request());
        }
        if (!phase.mayHaveStarted()) {
            provablyNotStarted.add(grant.request());
        }
        apply(pool.report(Samples.report(grant, phase), nowNanos));
    }

    /** The number of attempts that an endpoint provably did not start. */
    int provablyNotStarted(RequestId id) {
        return provablyNotStarted.count(id);
    }

    /** The number of grants reported as not sent, so that nothing was dispatched. */
    int notSent(RequestId id) {
        return notSent.count(id);
    }

    void report(DispatchReport report) {
        running.removeIf(grant -> report.phase().hasEnded()
                && grant.request().equals(report.request())
                && grant.endpoint().equals(report.endpoint()));
        apply(pool.report(report, nowNanos));
    }

    PoolSnapshot snapshot() {
        return pool.snapshot(nowNanos);
    }

    RequestDescriptor descriptor(RequestId id) {
        return offered.get(id);
    }

    ImmutableList<RequestDescriptor> waiting() {
        return ImmutableList.copyOf(waiting.values());
    }

    ImmutableList<Grant> running() {
        return ImmutableList.copyOf(running);
    }

    ImmutableList<Grant> grants() {
        return ImmutableList.copyOf(grants);
    }

    ImmutableList<Refusal> refusals() {
        return ImmutableList.copyOf(refusals);
    }

    /** The number of requests refused for overload while a request of a lower tier waited. */
    int shedInversions() {
        return shedInversions;
    }

    private void apply(PoolDecisions decisions) {
        decisions.grants().forEach(grant -> {
            waiting.remove(grant.request());
            running.add(grant);
            grants.add(grant);
        });
        decisions.refusals().forEach(refusal -> waiting.remove(refusal.request()));
        decisions.refusals().forEach(refusal -> {
            refusals.add(refusal);
            shedInversions += isInversion(refusal) ? 1 : 0;
        });
    }

    private boolean isInversion(Refusal refusal) {
        ErrorKind kind = refusal.failure().kind();
        boolean isOverload = kind == ErrorKind.SHED
                || (kind == ErrorKind.DEADLINE_UNREACHABLE
                        && refusal.failure().retryAfter().isPresent());
        int rank = offered.get(refusal.request()).tier().rank();
        return isOverload
                && waiting.values().stream().anyMatch(other -> other.tier().rank() > rank);
    }
}
