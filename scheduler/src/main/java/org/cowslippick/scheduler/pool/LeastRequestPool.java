package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;

/**
 * The baseline policy, power of two choices: on arrival, draws two endpoints and dispatches to the one with fewer
 * requests in flight, so that queues build up in the endpoints. "The Power of Two Choices in Randomized Load
 * Balancing", Mitzenmacher 2001.
 */
public final class LeastRequestPool implements PoolScheduler {

    private final SplittableRandom random;
    private final Map<EndpointName, Integer> inFlight = new HashMap<>();
    private final Map<RequestId, RequestDescriptor> requests = new HashMap<>();
    private ImmutableList<Endpoint> endpoints = ImmutableList.of();

    /** Creates a pool without endpoints whose random draws are determined by the seed. */
    public LeastRequestPool(long seed) {
        this.random = new SplittableRandom(seed);
    }

    @Override
    public PoolDecisions offer(RequestDescriptor request, long _nowNanos) {
        requests.put(request.id(), request);
        return dispatch(request.id(), request.entry(), 1, Grant.Reason.FIRST);
    }

    @Override
    public PoolDecisions withdraw(RequestId request, long _nowNanos) {
        requests.remove(request);
        return PoolDecisions.NONE;
    }

    @Override
    public PoolDecisions report(DispatchReport report, long _nowNanos) {
        if (!report.phase().hasEnded()) {
            return PoolDecisions.NONE;
        }
        inFlight.merge(report.endpoint(), -1, Integer::sum);
        RequestDescriptor request = requests.get(report.request());
        if (request != null && report.phase().isFault() && report.retryWanted()) {
            return dispatch(request.id(), request.entry(), 2, Grant.Reason.RETRY);
        }
        requests.remove(report.request());
        return PoolDecisions.NONE;
    }

    @Override
    public PoolDecisions adopt(InFlightAttempt adopted, long _nowNanos) {
        requests.put(adopted.request().id(), adopted.request());
        inFlight.merge(adopted.endpoint(), 1, Integer::sum);
        return PoolDecisions.NONE;
    }

    @Override
    public PoolDecisions observe(LoadReport _report, long _nowNanos) {
        return PoolDecisions.NONE;
    }

    @Override
    public PoolDecisions observe(CacheEvents _events, long _nowNanos) {
        return PoolDecisions.NONE;
    }

    @Override
    public PoolDecisions replaceEndpoints(ImmutableList<Endpoint> replacement, long _nowNanos) {
        endpoints = replacement;
        return PoolDecisions.NONE;
    }

    @Override
    public PoolDecisions advance(long _nowNanos) {
        return PoolDecisions.NONE;
    }

    @Override
    public PoolSnapshot snapshot(long _nowNanos) {
        return new PoolSnapshot(
                0,
                endpoints.stream()
                        .map(endpoint -> new EndpointSnapshot(
                                endpoint.name(),
                                inFlight(endpoint),
                                endpoint.concurrency(),
                                Duration.ZERO,
                                Duration.ZERO,
                                EndpointState.HEALTHY))
                        .collect(ImmutableList.toImmutableList()));
    }

    private PoolDecisions dispatch(RequestId request, InstanceName entry, int attempt, Grant.Reason reason) {
        if (endpoints.isEmpty()) {
            requests.remove(request);
            Failure failure = Failure.of(ErrorKind.NO_ENDPOINT, "the pool has no endpoints");
            return new PoolDecisions(ImmutableList.of(), ImmutableList.of(new Refusal(request, entry, failure)));
        }
        Endpoint first = endpoints.get(random.nextInt(endpoints.size()));
        Endpoint second = endpoints.get(random.nextInt(endpoints.size()));
        Endpoint chosen = inFlight(second) < inFlight(first) ? second : first;
        inFlight.merge(chosen.name(), 1, Integer::sum);
        return new PoolDecisions(
                ImmutableList.of(new Grant(request, entry, chosen.name(), attempt, reason)), ImmutableList.of());
    }

    private int inFlight(Endpoint endpoint) {
        return inFlight.getOrDefault(endpoint.name(), 0);
    }
}
