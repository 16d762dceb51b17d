package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.endpoint.EndpointTracker;
import org.cowslippick.scheduler.prefix.PrefixIndex;
import org.cowslippick.scheduler.prefix.PrefixMatch;

/**
 * Chooses the endpoint of a request among those with a free slot. A probably cached prefix reduces the prompt tokens
 * that the endpoint has to process. Since the prediction includes the endpoint's load, prefix affinity never outweighs
 * a longer wait.
 */
final class Placement {

    /**
     * An endpoint chosen for a request.
     *
     * @param promptTokens the prompt tokens that it is expected to process
     * @param serviceNanos the predicted time to the complete answer
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

    /** Returns the endpoint that is predicted to answer first. */
    Optional<Choice> choose(TrackedRequest request, long nowNanos) {
        RequestDescriptor descriptor = request.descriptor();
        ImmutableList<PrefixMatch> matches = prefixes.longestMatches(descriptor.prefixHashes());
        return endpoints
                .choose(
                        tracker -> (double) uncachedTokens(descriptor, matches, tracker),
                        admission.expectedAnswerTokens(descriptor),
                        tracker -> isAllowed(request, tracker, nowNanos),
                        matches.stream()
                                .map(match -> endpoints.find(match.endpoint()))
                                .mapMulti(Optional::ifPresent))
                .map(tracker -> choice(descriptor, matches, tracker));
    }

    /** Returns a suspected endpoint that is due for a probe with this request. */
    Optional<Choice> chooseProbe(TrackedRequest request, long nowNanos) {
        RequestDescriptor descriptor = request.descriptor();
        return endpoints
                .chooseProbe(
                        descriptor.dispatchRule().allowsRetryAfterStart(),
                        tracker -> isAllowed(request, tracker, nowNanos),
                        nowNanos)
                .map(tracker -> choice(descriptor, ImmutableList.of(), tracker))
                .filter(choice -> choice.meetsDeadline(descriptor, nowNanos));
    }

    private Choice choice(RequestDescriptor descriptor, ImmutableList<PrefixMatch> matches, EndpointTracker tracker) {
        long promptTokens = uncachedTokens(descriptor, matches, tracker);
        double serviceNanos = tracker.serviceNanos((double) promptTokens, admission.expectedAnswerTokens(descriptor));
        return new Choice(tracker, promptTokens, (long) serviceNanos);
    }

    private boolean isAllowed(TrackedRequest request, EndpointTracker tracker, long nowNanos) {
        boolean isRunning = request.attemptOn(tracker.name()).isPresent();
        boolean isEligible = !request.wasTriedOn(tracker.name()) || request.wasTriedOnAll(endpoints.members());
        return !isRunning && isEligible && crashes.mayRun(request.descriptor(), tracker.name(), nowNanos);
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
