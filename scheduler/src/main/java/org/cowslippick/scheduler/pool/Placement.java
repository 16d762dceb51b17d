package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.endpoint.EndpointTracker;
import org.cowslippick.scheduler.prefix.PrefixIndex;
import org.cowslippick.scheduler.prefix.PrefixMatch;

/**
 * Chooses the endpoint of a request among those with a free slot. A prefix that an endpoint probably holds counts as
 * prompt tokens that it need not compute; since the prediction contains the endpoint's load, affinity never outweighs a
 * longer wait.
 */
final class Placement {

    /**
     * An endpoint for a request.
     *
     * @param promptTokens what it is expected to compute of the prompt
     * @param serviceNanos the predicted time to the whole answer
     */
    record Choice(EndpointTracker tracker, long promptTokens, long serviceNanos) {

        boolean meetsDeadline(RequestDescriptor request, long nowNanos) {
            return nowNanos + serviceNanos <= request.deadlineAtNanos();
        }
    }

    private final EndpointTable endpoints;
    private final PrefixIndex prefixes;
    private final CrashAttribution crashes;
    private final Admission admission;

    Placement(EndpointTable endpoints, PrefixIndex prefixes, CrashAttribution crashes, Admission admission) {
        this.endpoints = endpoints;
        this.prefixes = prefixes;
        this.crashes = crashes;
        this.admission = admission;
    }

    /** The endpoint that is predicted to answer first. */
    Optional<Choice> choose(TrackedRequest request, long nowNanos) {
        RequestDescriptor descriptor = request.descriptor();
        ImmutableList<PrefixMatch> matches = prefixes.longestMatches(descriptor.prefixHashes());
        return endpoints
                .choose(
                        tracker -> (double) uncachedTokens(descriptor, matches, tracker),
                        admission.expectedAnswerTokens(descriptor),
                        tracker -> allowed(request, tracker, nowNanos),
                        matches.stream()
                                .map(match -> endpoints.find(match.endpoint()))
                                .mapMulti(Optional::ifPresent))
                .map(tracker -> choice(descriptor, matches, tracker));
    }

    /** An endpoint under suspicion that is due to be probed with this request. */
    Optional<Choice> chooseProbe(TrackedRequest request, long nowNanos) {
        RequestDescriptor descriptor = request.descriptor();
        return endpoints
                .chooseProbe(
                        descriptor.dispatchRule().retryAfterStart(),
                        tracker -> allowed(request, tracker, nowNanos),
                        nowNanos)
                .map(tracker -> choice(descriptor, ImmutableList.of(), tracker))
                .filter(choice -> choice.meetsDeadline(descriptor, nowNanos));
    }

    private Choice choice(RequestDescriptor descriptor, ImmutableList<PrefixMatch> matches, EndpointTracker tracker) {
        long promptTokens = uncachedTokens(descriptor, matches, tracker);
        double serviceNanos = tracker.serviceNanos((double) promptTokens, admission.expectedAnswerTokens(descriptor));
        return new Choice(tracker, promptTokens, (long) serviceNanos);
    }

    private boolean allowed(TrackedRequest request, EndpointTracker tracker, long nowNanos) {
        boolean running = request.attemptOn(tracker.name()).isPresent();
        boolean another = !request.tried(tracker.name()) || request.triedAll(endpoints.members());
        return !running && another && crashes.mayRun(request.descriptor(), tracker.name(), nowNanos);
    }

    private static long uncachedTokens(
            RequestDescriptor descriptor, ImmutableList<PrefixMatch> matches, EndpointTracker tracker) {
        double cachedShare = matches.stream()
                .filter(match -> match.endpoint().equals(tracker.name()))
                .mapToDouble(PrefixMatch::share)
                .findFirst()
                .orElse(0);
        return Math.max(1, Math.round(descriptor.promptTokens() * (1 - cachedShare)));
    }
}
