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
 * The waiting requests of a pool. The highest tier goes first. A lower tier that waited for {@code starvationWaitNanos}
 * without a dispatch gets every {@code starvationTurn}th dispatch, the longest unserved tier first; so a tier with
 * waiting requests goes at most that wait and then {@code starvationTurn} times the number of tiers dispatches without
 * one of its own. Shedding has no such exception: it takes the lowest tier that has a request.
 */
public final class TieredQueue {

    private final long starvationWaitNanos;
    private final int starvationTurn;
    private final TreeMap<Integer, TierQueue> tiers = new TreeMap<>();
    private final Map<RequestId, QueuedRequest> byId = new HashMap<>();
    private final TreeSet<QueuedRequest> byLatestStart = new TreeSet<>(QueuedRequest.BY_LATEST_START);
    private int turnsSinceStarved;

    /** Creates an empty queue. */
    public TieredQueue(long starvationWaitNanos, int starvationTurn) {
        this.starvationWaitNanos = starvationWaitNanos;
        this.starvationTurn = starvationTurn;
    }

    public void add(QueuedRequest request, long nowNanos) {
        byId.put(request.request().id(), request);
        byLatestStart.add(request);
        tiers.computeIfAbsent(request.rank(), _rank -> new TierQueue()).add(request, nowNanos);
    }

    /** Takes a request out without charging its organisation; empty if it does not wait. */
    public Optional<QueuedRequest> remove(RequestId id) {
        Optional<QueuedRequest> found = Optional.ofNullable(byId.remove(id));
        found.ifPresent(request -> {
            byLatestStart.remove(request);
            tiers.get(request.rank()).remove(request);
        });
        return found;
    }

    /** The request to dispatch next. */
    public Optional<QueuedRequest> next(long nowNanos) {
        return starvedTier(nowNanos)
                .filter(_tier -> turnsSinceStarved >= starvationTurn - 1)
                .or(this::highestTier)
                .flatMap(tier -> tier.next(nowNanos));
    }

    /** Removes a request that is dispatched and charges it to its organisation. */
    public void take(QueuedRequest request, long nowNanos) {
        TierQueue tier = tiers.get(request.rank());
        Optional<TierQueue> starved = starvedTier(nowNanos);
        boolean starvedServed = starved.isEmpty() || starved.get() == tier;
        turnsSinceStarved = starvedServed ? 0 : turnsSinceStarved + 1;
        byId.remove(request.request().id());
        byLatestStart.remove(request);
        tier.take(request, nowNanos);
    }

    /** Corrects what an organisation was charged in a tier once the length of an answer is known. */
    public void charge(int rank, OrganisationName organisation, double tokens) {
        Optional.ofNullable(tiers.get(rank)).ifPresent(tier -> tier.charge(organisation, tokens));
    }

    /** The request to shed first: one of the lowest tier that has any. */
    public Optional<QueuedRequest> last() {
        return tiers.descendingMap().values().stream()
                .filter(tier -> tier.size() > 0)
                .findFirst()
                .map(TierQueue::last);
    }

    /** Removes and returns the requests that can no longer meet their deadline. */
    public ImmutableList<QueuedRequest> removeExpired(long nowNanos) {
        List<QueuedRequest> expired = new ArrayList<>();
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartNanos() < nowNanos) {
            QueuedRequest first = byLatestStart.first();
            remove(first.request().id());
            expired.add(first);
        }
        return ImmutableList.copyOf(expired);
    }

    public int size() {
        return byId.size();
    }

    /** Whether a request of a lower tier than the rank waits. */
    public boolean hasLowerThan(int rank) {
        return tiers.tailMap(rank, false).values().stream().anyMatch(tier -> tier.size() > 0);
    }

    /** Whether a request of a higher tier than the rank waits. */
    public boolean hasHigherThan(int rank) {
        return tiers.headMap(rank, false).values().stream().anyMatch(tier -> tier.size() > 0);
    }

    /** How long the waiting requests of the rank and of higher tiers will occupy endpoints, in total. */
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
                .filter(tier -> nowNanos - tier.unservedSinceNanos() >= starvationWaitNanos)
                .min(Comparator.comparingLong(TierQueue::unservedSinceNanos));
    }
}
