package org.cowslippick.relay.limit;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Quota;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.relay.flow.QuotaGate;
import org.cowslippick.scheduler.limit.TokenBucket;

/**
 * One bucket for each organisation that counts the use of all instances: this one's at once, that of the others as soon
 * as they tell of it.
 */
public final class SharedQuotas implements QuotaGate {

    /** A process that starts knows nothing of what was used before; it starts with this part of the burst. */
    private static final double FIRST_SHARE_OF_BURST = 0.25;

    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(5);

    private final TimerService timer;
    private final Map<OrganisationName, Bucket> buckets = new HashMap<>();
    private final Map<OrganisationName, Long> usedHere = new HashMap<>();

    public SharedQuotas(TimerService timer) {
        this.timer = timer;
    }

    @Override
    public Optional<Duration> take(OrganisationAccess organisation, long cost) {
        long now = timer.nanoTime();
        Bucket bucket = bucket(organisation, now);
        if (bucket.tokens().tryTake((double) cost, 0, now)) {
            usedHere.merge(organisation.name(), cost, Long::sum);
            return Optional.empty();
        }
        Duration wait = Duration.ofNanos(bucket.tokens().nanosUntilAbove(0, now));
        return Optional.of(wait.compareTo(LONGEST_RETRY_AFTER) < 0 ? wait : LONGEST_RETRY_AFTER);
    }

    @Override
    public void giveBack(OrganisationAccess organisation, long cost) {
        if (cost > 0) {
            bucket(organisation, timer.nanoTime()).tokens().add((double) cost);
            usedHere.merge(organisation.name(), -cost, Long::sum);
        }
    }

    /** What was used here since the process started, for each organisation. */
    public ImmutableMap<OrganisationName, Long> usedHere() {
        return ImmutableMap.copyOf(usedHere);
    }

    /** Another instance used more than was known. */
    public void usedElsewhere(OrganisationName organisation, long more) {
        Optional.ofNullable(buckets.get(organisation))
                .ifPresent(bucket -> bucket.tokens().add((double) -more));
    }

    private Bucket bucket(OrganisationAccess organisation, long now) {
        Bucket bucket =
                buckets.computeIfAbsent(organisation.name(), _name -> Bucket.starting(organisation.quota(), now));
        if (!bucket.quota().equals(organisation.quota())) {
            bucket.tokens()
                    .resize(
                            organisation.quota().perSecond(),
                            organisation.quota().burst(),
                            now);
            bucket = new Bucket(organisation.quota(), bucket.tokens());
            buckets.put(organisation.name(), bucket);
        }
        return bucket;
    }

    private record Bucket(Quota quota, TokenBucket tokens) {

        static Bucket starting(Quota quota, long now) {
            TokenBucket tokens = new TokenBucket(quota.perSecond(), quota.burst(), now);
            tokens.add(-(1 - FIRST_SHARE_OF_BURST) * quota.burst());
            return new Bucket(quota, tokens);
        }
    }
}
