package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.scheduler.engine.PoolSpeeds;
import org.cowslippick.scheduler.prefix.KeptPartsBounds;
import org.cowslippick.scheduler.rollout.VersionGate;

/** The endpoints of one slot queue: which of them may be used now, and which is the best for a request. */
final class EndpointPool {

    /** The cost, as time to first token, of an endpoint whose failure share is 1; proportionally less for others. */
    private static final long FAILURE_PENALTY_NANOS = Duration.ofSeconds(1).toNanos();

    /** The cost of an endpoint on which the answer is not predicted to end in time. */
    private static final long TOO_SLOW_PENALTY_NANOS = Duration.ofSeconds(10).toNanos();

    /** The cost of pausing the streams of an endpoint for too long. */
    private static final long PAUSE_PENALTY_NANOS = Duration.ofMillis(500).toNanos();

    /** The rest of its time that a request must have to wait for an endpoint that is about to read its prompts. */
    private static final long WAITING_MARGIN_NANOS = Duration.ofMillis(400).toNanos();

    /** The best of this many differs little from the best of all; the pools of a region are rarely larger. */
    private static final int MAXIMUM_COMPARED = 128;

    private final Map<String, EndpointLoad> endpoints = new HashMap<>();
    /** The endpoints in the order in which they are compared. */
    private ImmutableList<EndpointLoad> all = ImmutableList.of();

    private int firstCompared;
    private final PoolSpeeds speeds = new PoolSpeeds();
    private final VersionGate versions = new VersionGate();
    private final KeptPartsBounds keptBounds = new KeptPartsBounds();
    private boolean isOwner = true;
    private long memoryTokens;

    /** Sets the tokens that each engine of the pool can hold; 0 if unknown. */
    void setMemoryTokens(long tokens) {
        memoryTokens = tokens;
        keptBounds.setMemoryTokens(tokens);
    }

    void setPromptReuseWindow(long nanos) {
        keptBounds.setReuseWindow(nanos);
    }

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
                .computeIfAbsent(endpoint.id(), _id -> new EndpointLoad(endpoint, speeds, keptBounds, nowNanos))
                .setEndpoint(endpoint, nowNanos));
        all = ImmutableList.copyOf(endpoints.values());
        versions.setEndpoints(current, nowNanos);
        keptBounds.setEngines(all.size());
    }

    /** Whether there is no endpoint that takes the request, now or later. */
    boolean isWithoutTakers(SlotRequest request, long nowNanos) {
        return endpoints.values().stream()
                .filter(load -> request.stream().allows(load.endpoint()))
                .filter(load -> !request.stream().isResumption() || isPermitted(load, request, nowNanos))
                .allMatch(EndpointLoad::isLeaving);
    }

    /** Whether a roll-out lets the request use the endpoint. */
    private boolean isPermitted(EndpointLoad load, SlotRequest request, long nowNanos) {
        return !versions.isClosed(load.endpoint(), nowNanos)
                && versions.isEverAllowed(load.endpoint(), choice(request, nowNanos));
    }

    /** The slots that most requests can be granted now; an endpoint with a rate limit counts as one. */
    int freeSlots(long nowNanos) {
        return endpoints.values().stream()
                .filter(load -> isOpen(load, nowNanos) && versions.isForMost(load.endpoint(), nowNanos))
                .mapToInt(load -> load.isRateLimited() ? 1 : load.freeSlots())
                .sum();
    }

    boolean hasOpen(long nowNanos) {
        for (EndpointLoad load : all) {
            if (isOpen(load, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private boolean isOpen(EndpointLoad load, long nowNanos) {
        return load.freeSlots() > 0 && isAvailable(load, nowNanos) && load.nanosUntilAllowed(nowNanos) == 0;
    }

    /** Whether this queue may use the endpoint, now or when a slot and its rate limit allow. */
    private boolean isAvailable(EndpointLoad load, long nowNanos) {
        return load.isUsable(nowNanos)
                && (isOwner || !load.isRateLimited())
                && !versions.isClosed(load.endpoint(), nowNanos);
    }

    /**
     * Whether the request would be on time with a slot of some endpoint after a wait; if none is available, whether its
     * time has not passed by then.
     */
    boolean canBeOnTime(SlotRequest request, long waitNanos, long nowNanos) {
        boolean isAnyAvailable = false;
        for (EndpointLoad load : all) {
            if (isAvailable(load, nowNanos) && request.stream().allows(load.endpoint())) {
                isAnyAvailable = true;
                if (isOnTime(load, request, waitNanos, nowNanos)) {
                    return true;
                }
            }
        }
        return !isAnyAvailable && nowNanos + waitNanos - request.onTimeUntilNanos() <= 0;
    }

    private static boolean isOnTime(EndpointLoad load, SlotRequest request, long waitNanos, long nowNanos) {
        long first = Math.max(waitNanos, load.nanosUntilAllowed(nowNanos)) + load.predictedNanos(request, nowNanos);
        return nowNanos + first - request.onTimeUntilNanos() <= 0;
    }

    long shortest(ToLongFunction<EndpointLoad> time, long nowNanos) {
        long shortest = Long.MAX_VALUE;
        for (EndpointLoad load : all) {
            if (isAvailable(load, nowNanos)) {
                shortest = Math.min(shortest, time.applyAsLong(load));
            }
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    /** The cheapest endpoint that the request may use now; during a roll-out, of the version that it should use. */
    Optional<EndpointLoad> cheapest(SlotRequest request, long nowNanos) {
        updateSpeeds(nowNanos);
        VersionGate.Choice choice = choice(request, nowNanos);
        return cheapest(request, choice, true, nowNanos)
                .or(() -> choice == VersionGate.Choice.TARGET_OR_OLD
                        ? cheapest(request, choice, false, nowNanos)
                        : Optional.empty());
    }

    /** Which versions the request may use; the old one if the target should get all but has no usable endpoint. */
    VersionGate.Choice choice(SlotRequest request, long nowNanos) {
        VersionGate.Choice choice =
                versions.choose(request.routeKey(), request.stream().requiredVersion(), nowNanos);
        boolean isUnusable = choice == VersionGate.Choice.TARGET
                && !versions.isTargetOnly(nowNanos)
                && all.stream()
                        .noneMatch(load ->
                                versions.isAllowed(load.endpoint(), choice, true) && isAvailable(load, nowNanos));
        return isUnusable ? VersionGate.Choice.OLD : choice;
    }

    /**
     * The endpoint with the lowest cost among those open to the request. In a pool with more than the maximum, each
     * decision compares others, so that its processor time does not grow with the pool.
     */
    private Optional<EndpointLoad> cheapest(
            SlotRequest request, VersionGate.Choice choice, boolean isFirst, long nowNanos) {
        EndpointLoad cheapest = null;
        long lowestCost = Long.MAX_VALUE;
        int compared = 0;
        int first = all.size() > MAXIMUM_COMPARED ? firstCompared : 0;
        for (int index = 0; index < all.size() && compared < MAXIMUM_COMPARED; index++) {
            EndpointLoad load = all.get((first + index) % all.size());
            if (isOpenTo(load, request, nowNanos)
                    && !isBetterLater(load, request, nowNanos)
                    && versions.isAllowed(load.endpoint(), choice, isFirst)
                    && !request.excludedEndpoints().contains(load.endpoint().id())) {
                compared++;
                long cost = cost(load, request, nowNanos);
                if (cheapest == null || cost < lowestCost) {
                    cheapest = load;
                    lowestCost = cost;
                }
            }
        }
        firstCompared = all.isEmpty() ? 0 : (first + MAXIMUM_COMPARED) % all.size();
        return Optional.ofNullable(cheapest);
    }

    private boolean isOpenTo(EndpointLoad load, SlotRequest request, long nowNanos) {
        return isOpen(load, nowNanos)
                && request.stream().allows(load.endpoint())
                && load.accepts(request.key().instance(), nowNanos)
                && load.hasMemoryFor(request, memoryTokens);
    }

    /**
     * Whether a prompt would pause the running streams of an endpoint too long now, but not once the endpoint has read
     * those that wait, and the request is on time even then.
     */
    private static boolean isBetterLater(EndpointLoad load, SlotRequest request, long nowNanos) {
        return load.isReading()
                && load.wouldPauseStreams(request, nowNanos)
                && isOnTime(load, request, WAITING_MARGIN_NANOS, nowNanos);
    }

    private void updateSpeeds(long nowNanos) {
        if (speeds.isOutdated(nowNanos)) {
            speeds.update(endpoints.values().stream().map(EndpointLoad::speed).toList(), nowNanos);
        }
    }

    private static long cost(EndpointLoad load, SlotRequest request, long nowNanos) {
        long predicted = load.predictedNanos(request, nowNanos);
        long end = nowNanos + predicted + load.answerNanos(request);
        return predicted
                + (long) (load.failureShare(nowNanos) * FAILURE_PENALTY_NANOS)
                + (end - request.expiresAtNanos() > 0 ? TOO_SLOW_PENALTY_NANOS : 0)
                + (load.wouldPauseStreams(request, nowNanos) ? PAUSE_PENALTY_NANOS : 0)
                - ConnectionPreference.advantageNanos(load, request, nowNanos);
    }

    boolean isAnyOpenTo(SlotRequest request, long nowNanos) {
        if (versions.isRestricting(nowNanos)) {
            return cheapest(request, nowNanos).isPresent();
        }
        for (EndpointLoad load : all) {
            if (isOpenTo(load, request, nowNanos)) {
                return true;
            }
        }
        return false;
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
