package org.cowslippick.fleet.grant;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.Refusal;

/** Grants from pools that this entry owns itself. */
public final class LocalGrantClient implements GrantClient, DecisionListener {

    private final PoolHost host;
    private final Map<RequestId, GrantListener> listeners = new ConcurrentHashMap<>();

    /** Creates the client and the host of its pools. */
    public LocalGrantClient(TimerService timer, Executor executor, PoolFactory factory) {
        this.host = new PoolHost(timer, executor, factory, this);
    }

    /** The host of the pools. */
    public PoolHost host() {
        return host;
    }

    @Override
    public void request(PoolKey pool, RequestDescriptor request, GrantListener listener) {
        listeners.put(request.id(), listener);
        host.step(pool, (scheduler, now) -> scheduler.offer(request, now));
    }

    @Override
    public void withdraw(PoolKey pool, RequestId request) {
        listeners.remove(request);
        host.step(pool, (scheduler, now) -> scheduler.withdraw(request, now));
    }

    @Override
    public void report(PoolKey pool, DispatchReport report) {
        if (report.phase().ended() && !report.retryWanted()) {
            listeners.remove(report.request());
        }
        host.step(pool, (scheduler, now) -> scheduler.report(report, now));
    }

    @Override
    public void granted(PoolKey pool, Grant grant) {
        Optional.ofNullable(listeners.get(grant.request()))
                .ifPresentOrElse(listener -> listener.granted(grant), () -> giveBack(pool, grant));
    }

    @Override
    public void refused(PoolKey _pool, Refusal refusal) {
        Optional.ofNullable(listeners.remove(refusal.request()))
                .ifPresent(listener -> listener.refused(refusal.failure()));
    }

    /** Frees the slot of a grant whose request was withdrawn in the meantime. */
    private void giveBack(PoolKey pool, Grant grant) {
        DispatchReport unused =
                new DispatchReport(grant.request(), grant.endpoint(), DispatchPhase.CANCELLED, 0, 0, 0, false);
        host.step(pool, (scheduler, now) -> scheduler.report(unused, now));
    }
}
