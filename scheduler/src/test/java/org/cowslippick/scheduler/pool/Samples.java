package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.stream.IntStream;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.FencingSupport;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.core.world.TierName;

/** Sample requests and endpoints for tests. */
public final class Samples {

    public static final long MILLISECOND = 1_000_000L;
    public static final long SECOND = 1_000 * MILLISECOND;
    private static final Region REGION = new Region("west");

    private Samples() {}

    public static Tier tier(int rank) {
        return new Tier(new TierName("tier" + rank), rank, Math.pow(4, 3 - rank));
    }

    public static Endpoint endpoint(int number, int concurrency) {
        return new Endpoint(
                new EndpointName("engine" + number),
                new PoolName("chat"),
                EndpointKind.MODEL,
                new FailureDomain("west-a", REGION),
                HostAndPort.fromParts("127.0.0.1", 1000 + number),
                concurrency,
                FencingSupport.CHECKED);
    }

    public static ImmutableList<Endpoint> endpoints(int count, int concurrency) {
        return IntStream.range(0, count)
                .mapToObj(number -> endpoint(number, concurrency))
                .collect(ImmutableList.toImmutableList());
    }

    public static RequestDescriptor request(String id, int rank, DispatchRule rule, long arrivalNanos) {
        return request(id, rank, rule, arrivalNanos, "organisation", 10 * SECOND, 100, 50);
    }

    public static RequestDescriptor request(
            String id,
            int rank,
            DispatchRule rule,
            long arrivalNanos,
            String organisation,
            long deadlineNanos,
            int promptTokens,
            int answerTokens) {
        return new RequestDescriptor(
                new RequestId(id),
                new InstanceName("entry"),
                REGION,
                new OrganisationName(organisation),
                new ServiceName("chat"),
                tier(rank),
                rule,
                arrivalNanos,
                530 * MILLISECOND,
                deadlineNanos,
                promptTokens,
                answerTokens,
                false,
                ImmutableList.of(),
                id.hashCode());
    }

    /** Returns a copy of the request with the given prefix hashes and content. */
    public static RequestDescriptor withContent(
            RequestDescriptor request, ImmutableList<Long> prefixHashes, long contentFingerprint) {
        return new RequestDescriptor(
                request.id(),
                request.entry(),
                request.callerRegion(),
                request.organisation(),
                request.service(),
                request.tier(),
                request.dispatchRule(),
                request.arrivalNanos(),
                request.firstTokenTargetNanos(),
                request.deadlineNanos(),
                request.promptTokens(),
                request.answerTokens(),
                request.crossRegion(),
                prefixHashes,
                contentFingerprint);
    }

    public static DispatchReport report(Grant grant, DispatchPhase phase) {
        return new DispatchReport(
                grant.request(), grant.endpoint(), phase, 50 * MILLISECOND, 10 * MILLISECOND, 50, true);
    }
}
