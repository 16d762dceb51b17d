package org.cowslippick.entry.request;

import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.grant.GrantClient;
import org.cowslippick.fleet.grant.GrantListener;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;

/** Records the calls that a request makes to the owner of its pool. */
final class FakeGrantClient implements GrantClient {

    final List<RequestId> requested = new ArrayList<>();
    final List<RequestId> withdrawn = new ArrayList<>();
    final List<DispatchReport> reports = new ArrayList<>();
    GrantListener listener;

    @Override
    public void request(PoolKey _pool, RequestDescriptor request, GrantListener newListener) {
        requested.add(request.id());
        listener = newListener;
    }

    @Override
    public void withdraw(PoolKey _pool, RequestId request) {
        withdrawn.add(request);
    }

    @Override
    public void report(PoolKey _pool, DispatchReport report) {
        reports.add(report);
    }

    List<DispatchPhase> phases() {
        return reports.stream().map(DispatchReport::phase).toList();
    }
}
