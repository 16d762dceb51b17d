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
import org.cowslippick.relay.forwarding.QuotaLimiter;
import org.cowslippick.scheduler.limit.TokenBucket;

/**
 * One token bucket per organisation that counts the usage of all instances: of this one immediately, of the others when
 * their reports arrive.
 */
public final class SharedQuotas implements QuotaLimiter {

    private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(5);

    private final TimerService timer;
    private final QuotaTolerance tolerance;
    private final long startedAtNanos;
    private final Map<OrganisationName, Bucket> buckets = new HashMap<>();
    private final Map<OrganisationName, Long> localUsage = new HashMap<>();
    private double share = 1;

    /** Starts with empty buckets, as a new process does not know what was used before. */
    public SharedQuotas(TimerService timer, QuotaTolerance tolerance) {
        this.timer = timer;
        this.tolerance = tolerance;
        this.startedAtNanos = timer.nanoTime();
    }

    @Override
    public Optional<Duration> tryAcquire(OrganisationAccess organisation, long cost) {
        long now = timer.nanoTime();
        Bucket bucket = bucket(organisation, now);
        if (bucket.tokens().tryTake((double) cost, 0, now)) {
            localUsage.merge(organisation.name(), cost, Long::sum);
            return Optional.empty();
        }
        Duration wait = Duration.ofNanos(bucket.tokens().nanosUntilAbove(0, now));
        return Optional.of(wait.compareTo(MAXIMUM_RETRY_AFTER) < 0 ? wait : MAXIMUM_RETRY_AFTER);
    }

    @Override
    public void refund(OrganisationAccess organisation, long cost) {
        if (cost > 0) {
            bucket(organisation, timer.nanoTime()).tokens().add((double) cost);
            localUsage.merge(organisation.name(), -cost, Long::sum);
        }
    }

    /** Sets the share of all quotas that belongs to the reachable instances, this one included. */
    public void setShare(double newShare) {
        share = newShare;
    }

    /** Usage on this instance since the process started, by organisation. */
    public ImmutableMap<OrganisationName, Long> localUsage() {
        return ImmutableMap.copyOf(localUsage);
    }

    /** Adds usage that another instance reported. */
    public void addRemoteUsage(OrganisationName organisation, long amount) {
        Optional.ofNullable(buckets.get(organisation))
                .ifPresent(bucket -> bucket.tokens().add((double) -amount));
    }

    private Bucket bucket(OrganisationAccess organisation, long now) {
        Quota quota = organisation.quota();
        Bucket bucket = buckets.computeIfAbsent(
                organisation.name(),
                _name -> Bucket.empty(quota, share * tolerance.refillPerSecond(quota), share, startedAtNanos));
        if (bucket.quota().equals(quota) && bucket.share() == share) {
            return bucket;
        }
        bucket.tokens().resize(share * tolerance.refillPerSecond(quota), quota.burst(), now);
        Bucket resized = new Bucket(quota, share, bucket.tokens());
        buckets.put(organisation.name(), resized);
        return resized;
    }

    private record Bucket(Quota quota, double share, TokenBucket tokens) {

        static Bucket empty(Quota quota, double perSecond, double share, long nowNanos) {
            TokenBucket tokens = new TokenBucket(perSecond, quota.burst(), nowNanos);
            tokens.add(-quota.burst());
            return new Bucket(quota, share, tokens);
        }
    }
}
