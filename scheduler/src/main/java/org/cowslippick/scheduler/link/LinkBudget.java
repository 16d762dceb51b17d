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
 * What one entry may send over the links between regions. Each link has a bucket of bytes that fills at the entry's
 * share of the link. A lower tier leaves a larger part of the bucket untouched, so that it stops crossing first. Over
 * any time the entry sends at most its share of it, one bucket of {@value #BURST_SECONDS} s and one request.
 */
public final class LinkBudget {

    private static final double BURST_SECONDS = 1;
    private static final double RESERVE_PER_RANK = 0.2;
    private static final double LARGEST_RESERVE = 0.8;
    private static final double BYTES_PER_GIGABYTE = 1e9;

    private record Direction(Region from, Region to) {}

    private final Map<Direction, Link> links = new HashMap<>();
    private final Map<Direction, TokenBucket> buckets = new HashMap<>();
    private final Map<Direction, LinkSpend> spends = new HashMap<>();

    /** Creates full budgets; {@code share} is the part of each link that this entry may use, from 0 to 1. */
    public LinkBudget(ImmutableList<Link> links, double share, long nowNanos) {
        links.forEach(link -> {
            Direction direction = new Direction(link.from(), link.to());
            double rate = link.bytesPerSecond() * share;
            this.links.put(direction, link);
            buckets.put(direction, new TokenBucket(rate, rate * BURST_SECONDS, nowNanos));
        });
    }

    /** Takes the bytes out of the budget, or says why the request may not cross. */
    public Optional<Failure> tryCross(Crossing crossing, long nowNanos) {
        if (!crossing.contractPays()) {
            return Optional.of(Failure.of(
                    ErrorKind.LINK_BUDGET_SPENT, "the contract does not pay for carrying it to " + crossing.to()));
        }
        Direction direction = new Direction(crossing.from(), crossing.to());
        TokenBucket bucket = buckets.get(direction);
        if (bucket == null) {
            return Optional.of(Failure.of(
                    ErrorKind.LINK_BUDGET_SPENT, "no link leads from " + crossing.from() + " to " + crossing.to()));
        }
        double reserve = bucket.burst() * reserveShare(crossing.tier().rank());
        if (!bucket.tryTake((double) crossing.bytes(), reserve, nowNanos)) {
            return Optional.of(Failure.retryAfter(
                    ErrorKind.LINK_BUDGET_SPENT,
                    "the budget of the link from " + crossing.from() + " to " + crossing.to() + " is used up",
                    Duration.ofNanos(bucket.nanosUntilAbove(reserve, nowNanos))));
        }
        charge(direction, crossing.bytes());
        return Optional.empty();
    }

    /** What was carried from one region to another so far. */
    public LinkSpend spend(Region from, Region to) {
        return spends.getOrDefault(new Direction(from, to), LinkSpend.NOTHING);
    }

    private void charge(Direction direction, long bytes) {
        LinkSpend before = spends.getOrDefault(direction, LinkSpend.NOTHING);
        double price = bytes / BYTES_PER_GIGABYTE * links.get(direction).pricePerGigabyte();
        spends.put(direction, new LinkSpend(before.bytes() + bytes, before.price() + price));
    }

    private static double reserveShare(int rank) {
        return Math.min(LARGEST_RESERVE, RESERVE_PER_RANK * rank);
    }
}
