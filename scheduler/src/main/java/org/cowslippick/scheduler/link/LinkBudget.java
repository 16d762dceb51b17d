package org.cowslippick.scheduler.link;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.Link;
import org.cowslippick.core.world.Region;
import org.cowslippick.scheduler.limit.TokenBucket;

/**
 * Limits what one entry sends over the links between regions. Each link has a token bucket in bytes that fills at the
 * entry's share of the link rate. A lower tier leaves a larger reserve in the bucket, so that it is refused first. Over
 * any interval the entry sends at most its share of the link rate, one burst of {@value #BURST_SECONDS} s, and one
 * request.
 */
public final class LinkBudget {

    private static final double BURST_SECONDS = 1;
    private static final double RESERVE_PER_RANK = 0.2;
    private static final double MAXIMUM_RESERVE = 0.8;
    private static final double BYTES_PER_GIGABYTE = 1e9;

    private record Direction(Region from, Region to) {}

    private final Map<Direction, Link> links = new HashMap<>();
    private final Map<Direction, TokenBucket> buckets = new HashMap<>();
    private final Map<Direction, LinkUsage> usages = new HashMap<>();

    /** Creates full budgets; {@code share} is this entry's share of each link, from 0 to 1. */
    public LinkBudget(ImmutableList<Link> links, double share, long nowNanos) {
        links.forEach(link -> {
            Direction direction = new Direction(link.from(), link.to());
            double rate = link.bytesPerSecond() * share;
            this.links.put(direction, link);
            buckets.put(direction, new TokenBucket(rate, rate * BURST_SECONDS, nowNanos));
        });
    }

    /** Takes the bytes from the budget, or returns the reason why the transfer is refused. */
    public Optional<Failure> tryTransfer(LinkTransfer transfer, long nowNanos) {
        if (!transfer.isCoveredByContract()) {
            return Optional.of(Failure.of(
                    ErrorKind.LINK_BUDGET_SPENT,
                    "the organisation's contract does not cover transfer to region " + transfer.to()));
        }
        Direction direction = new Direction(transfer.from(), transfer.to());
        TokenBucket bucket = buckets.get(direction);
        if (bucket == null) {
            return Optional.of(Failure.of(
                    ErrorKind.LINK_BUDGET_SPENT, "no link from region " + transfer.from() + " to " + transfer.to()));
        }
        double reserve = bucket.burst() * reserveShare(transfer.tier().rank());
        if (!bucket.tryTake((double) transfer.bytes(), reserve, nowNanos)) {
            return Optional.of(Failure.retryAfter(
                    ErrorKind.LINK_BUDGET_SPENT,
                    "the budget of the link from region " + transfer.from() + " to " + transfer.to() + " is exhausted",
                    Duration.ofNanos(bucket.nanosUntilAbove(reserve, nowNanos))));
        }
        recordUsage(direction, transfer.bytes());
        return Optional.empty();
    }

    /** Returns what was transferred from one region to another so far. */
    public LinkUsage usage(Region from, Region to) {
        return usages.getOrDefault(new Direction(from, to), LinkUsage.NONE);
    }

    private void recordUsage(Direction direction, long bytes) {
        LinkUsage before = usages.getOrDefault(direction, LinkUsage.NONE);
        double cost = bytes / BYTES_PER_GIGABYTE * links.get(direction).pricePerGigabyte();
        usages.put(direction, new LinkUsage(before.bytes() + bytes, before.cost() + cost));
    }

    private static double reserveShare(int rank) {
        return Math.min(MAXIMUM_RESERVE, RESERVE_PER_RANK * rank);
    }
}
