package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.scheduler.rollout.VersionGate;

/** The endpoints of one slot queue: which of them may be used now, and which is the best for a request. */
final class EndpointPool {

    /** The cost, as time to first token, of an endpoint whose failure share is 1; proportionally less for others. */
    private static final long FAILURE_PENALTY_NANOS = Duration.ofSeconds(1).toNanos();

    /** The cost of an endpoint on which the answer is not predicted to end in time. */
    private static final long TOO_SLOW_PENALTY_NANOS = Duration.ofSeconds(10).toNanos();

    /** The cost of pausing the streams of an endpoint for too long. */
    private static final long PAUSE_PENALTY_NANOS = Duration.ofMillis(500).toNanos();

    private static final ImmutableSet<VersionGate.Choice> EVERY_CHOICE =
            Sets.immutableEnumSet(EnumSet.allOf(VersionGate.Choice.class));

    private final Map<String, EndpointLoad> endpoints = new HashMap<>();
    private final VersionGate versions = new VersionGate();
    private boolean isOwner = true;

    /** Sets whether this instance is the designated owner, which alone uses endpoints with a rate limit. */
    void setOwner(boolean owner) {
        isOwner = owner;
        versions.setOwner(owner);
    }

    /** Which versions requests may use during a roll-out. */
    VersionGate versions() {
        return versions;
    }

    Optional<EndpointLoad> get(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Replaces the endpoints and keeps what is known of those that remain. */
    void replace(ImmutableCollection<LiveEndpoint> current, long nowNanos) {
        ImmutableSet<String> ids = current.stream().map(LiveEndpoint::id).collect(ImmutableSet.toImmutableSet());
        endpoints.keySet().retainAll(ids);
        current.forEach(endpoint -> endpoints
                .computeIfAbsent(endpoint.id(), _id -> new EndpointLoad(endpoint, nowNanos))
                .setEndpoint(endpoint));
        versions.setEndpoints(current, nowNanos);
    }

    /** Whether there is no endpoint that takes new requests, now or later. */
    boolean isWithoutTakers() {
        return endpoints.values().stream().allMatch(EndpointLoad::isLeaving);
    }

    /** The slots that most requests can be granted now; an endpoint with a rate limit counts as one. */
    int freeSlots(long nowNanos) {
        return endpoints.values().stream()
                .filter(load -> isOpen(load, nowNanos) && versions.isForMost(load.endpoint(), nowNanos))
                .mapToInt(load -> load.isRateLimited() ? 1 : load.freeSlots())
                .sum();
    }

    boolean hasOpen(long nowNanos) {
        for (EndpointLoad load : endpoints.values()) {
            if (isOpen(load, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /** The choices of versions for which an endpoint is open; the caller has checked {@link #hasOpen}. */
    ImmutableSet<VersionGate.Choice> placeable(long nowNanos) {
        if (!versions.isRestricting(nowNanos)) {
            return EVERY_CHOICE;
        }
        return Arrays.stream(VersionGate.Choice.values())
                .filter(choice -> endpoints.values().stream()
                        .anyMatch(load -> versions.isEverAllowed(load.endpoint(), choice) && isOpen(load, nowNanos)))
                .collect(Sets.toImmutableEnumSet());
    }

    private boolean isOpen(EndpointLoad load, long nowNanos) {
        return isAvailable(load, nowNanos) && load.freeSlots() > 0 && load.nanosUntilAllowed(nowNanos) == 0;
    }

    /** Whether this queue may use the endpoint, now or when a slot and its rate limit allow. */
    private boolean isAvailable(EndpointLoad load, long nowNanos) {
        return load.isUsable(nowNanos)
                && (isOwner || !load.isRateLimited())
                && !versions.isClosed(load.endpoint(), nowNanos);
    }

    /** The shortest time to first token on any endpoint, if the request need not wait for a slot. */
    long fastestNanos(SlotRequest request, long nowNanos) {
        return shortest(load -> load.nanosUntilAllowed(nowNanos) + load.predictedNanos(request), nowNanos);
    }

    long shortest(ToLongFunction<EndpointLoad> time, long nowNanos) {
        long shortest = Long.MAX_VALUE;
        for (EndpointLoad load : endpoints.values()) {
            if (isAvailable(load, nowNanos)) {
                shortest = Math.min(shortest, time.applyAsLong(load));
            }
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    /** The cheapest endpoint that the request may use now; during a roll-out, of the version that it should use. */
    Optional<EndpointLoad> cheapest(SlotRequest request, long nowNanos) {
        VersionGate.Choice choice = choice(request, nowNanos);
        return cheapest(request, choice, true, nowNanos)
                .or(() -> choice == VersionGate.Choice.TARGET_OR_OLD
                        ? cheapest(request, choice, false, nowNanos)
                        : Optional.empty());
    }

    /** Which versions the request may use; the old one if the target should get all but has no usable endpoint. */
    VersionGate.Choice choice(SlotRequest request, long nowNanos) {
        VersionGate.Choice choice = versions.choose(request.routeKey(), nowNanos);
        boolean isUnusable = choice == VersionGate.Choice.TARGET
                && !versions.isTargetOnly(nowNanos)
                && endpoints.values().stream()
                        .noneMatch(load ->
                                versions.isAllowed(load.endpoint(), choice, true) && isAvailable(load, nowNanos));
        return isUnusable ? VersionGate.Choice.OLD : choice;
    }

    private Optional<EndpointLoad> cheapest(
            SlotRequest request, VersionGate.Choice choice, boolean isFirst, long nowNanos) {
        EndpointLoad cheapest = null;
        long lowestCost = Long.MAX_VALUE;
        for (EndpointLoad load : endpoints.values()) {
            if (isOpen(load, nowNanos)
                    && load.accepts(request.key().instance(), nowNanos)
                    && !request.excludedEndpoints().contains(load.endpoint().id())
                    && versions.isAllowed(load.endpoint(), choice, isFirst)) {
                long cost = cost(load, request, nowNanos);
                if (cheapest == null || cost < lowestCost) {
                    cheapest = load;
                    lowestCost = cost;
                }
            }
        }
        return Optional.ofNullable(cheapest);
    }

    private static long cost(EndpointLoad load, SlotRequest request, long nowNanos) {
        long end = nowNanos + load.predictedNanos(request) + load.answerNanos(request);
        return load.predictedNanos(request)
                + (long) (load.failureShare(nowNanos) * FAILURE_PENALTY_NANOS)
                + (end - request.expiresAtNanos() > 0 ? TOO_SLOW_PENALTY_NANOS : 0)
                + (load.wouldPauseStreams(request) ? PAUSE_PENALTY_NANOS : 0);
    }

    boolean isAnyOpenTo(SlotRequest request, long nowNanos) {
        if (versions.isRestricting(nowNanos)) {
            return cheapest(request, nowNanos).isPresent();
        }
        return endpoints.values().stream()
                .anyMatch(load ->
                        isOpen(load, nowNanos) && load.accepts(request.key().instance(), nowNanos));
    }

    /** The time until the first endpoint wants requests from the instance again; 0 if one does already. */
    long pauseNanos(SlotRequest request, long nowNanos) {
        return shortest(load -> load.nanosUntilAccepted(request.key().instance(), nowNanos), nowNanos);
    }

    /** The wait for the rate limits if all available endpoints have one; the recent dispatch rate may be higher. */
    long rateLimitedWaitNanos(int ahead, long nowNanos) {
        ImmutableList<EndpointLoad> available = endpoints.values().stream()
                .filter(load -> isAvailable(load, nowNanos))
                .collect(ImmutableList.toImmutableList());
        if (available.isEmpty() || !available.stream().allMatch(EndpointLoad::isRateLimited)) {
            return 0;
        }
        double requestsPerSecond =
                available.stream().mapToDouble(EndpointLoad::requestsPerSecond).sum();
        long soonest = available.stream()
                .mapToLong(load -> load.nanosUntilAllowed(nowNanos))
                .min()
                .getAsLong();
        return soonest
                + (long) (ahead / requestsPerSecond * Duration.ofSeconds(1).toNanos());
    }
}
