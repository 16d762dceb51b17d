package org.cowslippick.scheduler.queue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.OrganisationName;

/**
 * The waiting requests of a pool. The highest tier goes first. A lower tier that waits for
 * {@code starvationThresholdNanos} without a dispatch is starved, and the longest-starved tier gets every
 * {@code starvationDispatchInterval}th dispatch. So after the threshold a tier with waiting requests is dispatched from
 * at least once in {@code starvationDispatchInterval} times the number of tiers dispatches. Shedding has no such
 * exception: it always takes from the lowest tier that has a request.
 */
public final class TieredQueue {

    private final long starvationThresholdNanos;
    private final int starvationDispatchInterval;
    private final TreeMap<Integer, TierQueue> tiers = new TreeMap<>();
    private final Map<RequestId, QueuedRequest> byId = new HashMap<>();
    private final TreeSet<QueuedRequest> byDeadlineStart = new TreeSet<>(QueuedRequest.BY_DEADLINE_START);
    private int dispatchesSinceStarvedTier;

    /** Creates an empty queue. */
    public TieredQueue(long starvationThresholdNanos, int starvationDispatchInterval) {
        this.starvationThresholdNanos = starvationThresholdNanos;
        this.starvationDispatchInterval = starvationDispatchInterval;
    }

    public void add(QueuedRequest request, long nowNanos) {
        byId.put(request.request().id(), request);
        byDeadlineStart.add(request);
        tiers.computeIfAbsent(request.rank(), _rank -> new TierQueue()).add(request, nowNanos);
    }

    /** Removes a request without charging its organisation; returns empty if it is not queued. */
    public Optional<QueuedRequest> remove(RequestId id) {
        Optional<QueuedRequest> found = Optional.ofNullable(byId.remove(id));
        found.ifPresent(request -> {
            byDeadlineStart.remove(request);
            tiers.get(request.rank()).remove(request);
        });
        return found;
    }

    /** Returns the request to dispatch next. */
    public Optional<QueuedRequest> next(long nowNanos) {
        return starvedTier(nowNanos)
                .filter(_tier -> dispatchesSinceStarvedTier >= starvationDispatchInterval - 1)
                .or(this::highestTier)
                .flatMap(tier -> tier.next(nowNanos));
    }

    /** Removes a request for dispatch and charges its tokens to its organisation. */
    public void take(QueuedRequest request, long nowNanos) {
        TierQueue tier = tiers.get(request.rank());
        Optional<TierQueue> starved = starvedTier(nowNanos);
        boolean starvedServed = starved.isEmpty() || starved.get() == tier;
        dispatchesSinceStarvedTier = starvedServed ? 0 : dispatchesSinceStarvedTier + 1;
        byId.remove(request.request().id());
        byDeadlineStart.remove(request);
        tier.take(request, nowNanos);
    }

    /** Corrects the tokens charged to an organisation in a tier once the length of an answer is known. */
    public void charge(int rank, OrganisationName organisation, double tokens) {
        Optional.ofNullable(tiers.get(rank)).ifPresent(tier -> tier.charge(organisation, tokens));
    }

    /** Returns the request to shed first, which belongs to the lowest non-empty tier. */
    public Optional<QueuedRequest> shedCandidate() {
        return tiers.descendingMap().values().stream()
                .filter(tier -> tier.size() > 0)
                .findFirst()
                .map(TierQueue::shedCandidate);
    }

    /** Removes and returns the requests that can no longer meet their deadline. */
    public ImmutableList<QueuedRequest> removeExpired(long nowNanos) {
        List<QueuedRequest> expired = new ArrayList<>();
        while (!byDeadlineStart.isEmpty() && byDeadlineStart.first().deadlineLatestStartNanos() < nowNanos) {
            QueuedRequest first = byDeadlineStart.first();
            remove(first.request().id());
            expired.add(first);
        }
        return ImmutableList.copyOf(expired);
    }

    public int size() {
        return byId.size();
    }

    /** Whether a request of a lower tier than the given rank waits. */
    public boolean hasLowerTierThan(int rank) {
        return tiers.tailMap(rank, false).values().stream().anyMatch(tier -> tier.size() > 0);
    }

    /** Whether a request of a higher tier than the given rank waits. */
    public boolean hasHigherTierThan(int rank) {
        return tiers.headMap(rank, false).values().stream().anyMatch(tier -> tier.size() > 0);
    }

    /** The total predicted service time of the waiting requests of the given rank and of higher tiers. */
    public long serviceNanosDownTo(int rank) {
        return tiers.headMap(rank, true).values().stream()
                .mapToLong(TierQueue::serviceNanos)
                .sum();
    }

    private Optional<TierQueue> highestTier() {
        return tiers.values().stream().filter(tier -> tier.size() > 0).findFirst();
    }

    private Optional<TierQueue> starvedTier(long nowNanos) {
        return tiers.values().stream()
                .filter(tier -> tier.size() > 0)
                .skip(1)
                .filter(tier -> nowNanos - tier.unservedSinceNanos() >= starvationThresholdNanos)
                .min(Comparator.comparingLong(TierQueue::unservedSinceNanos));
    }
}
