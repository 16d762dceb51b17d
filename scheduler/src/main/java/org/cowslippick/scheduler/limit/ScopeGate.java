package org.cowslippick.scheduler.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.scheduler.rate.DecayingRate;

/** Enforces one entry's share of the limits of one scope. */
final class ScopeGate {

    private static final double BURST_SECONDS = 0.25;
    private static final long DEMAND_TIME_CONSTANT_NANOS = 1_000_000_000L;
    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofMillis(500);

    private final DecayingRate requestDemand;
    private final DecayingRate tokenDemand;
    private final DecayingRate concurrencyRefusals;
    private final TokenBucket requests;
    private final TokenBucket tokens;
    private Limits limits;
    private OptionalDouble requestLimit = OptionalDouble.empty();
    private OptionalDouble tokenLimit = OptionalDouble.empty();
    private OptionalInt concurrencyLimit = OptionalInt.empty();
    private LimitShare share;
    private long shareSetAtNanos;
    private int running;

    ScopeGate(Limits limits, LimitShare share, long nowNanos) {
        this.limits = limits;
        this.share = share;
        this.shareSetAtNanos = nowNanos;
        this.requestDemand = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS, nowNanos);
        this.tokenDemand = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS, nowNanos);
        this.concurrencyRefusals = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS, nowNanos);
        this.requests = new TokenBucket(0, 1, nowNanos);
        this.tokens = new TokenBucket(0, 1, nowNanos);
        resize(nowNanos);
    }

    void setLimits(Limits newLimits, long nowNanos) {
        if (!limits.equals(newLimits)) {
            limits = newLimits;
            resize(nowNanos);
        }
    }

    void setShare(LimitShare newShare, long nowNanos) {
        share = newShare;
        shareSetAtNanos = nowNanos;
        resize(nowNanos);
    }

    Demand demand(long nowNanos) {
        return new Demand(
                requestDemand.perSecond(nowNanos),
                tokenDemand.perSecond(nowNanos),
                running + concurrencyRefusals.perSecond(nowNanos));
    }

    void recordDemand(int tokenCount, long nowNanos) {
        requestDemand.add(1, nowNanos);
        tokenDemand.add(tokenCount, nowNanos);
    }

    /** Returns why a request is refused, if it is; changes nothing but the recorded demand. */
    Optional<Failure> refusal(long nowNanos) {
        expireShare(nowNanos);
        if (requestLimit.isPresent() && !requests.isAbove(0, nowNanos)) {
            return Optional.of(refused("requests per second", requests.nanosUntilAbove(0, nowNanos)));
        }
        if (tokenLimit.isPresent() && !tokens.isAbove(0, nowNanos)) {
            return Optional.of(refused("tokens per second", tokens.nanosUntilAbove(0, nowNanos)));
        }
        if (concurrencyLimit.isPresent() && running >= localConcurrencyLimit()) {
            concurrencyRefusals.add(1, nowNanos);
            return Optional.of(refused("concurrent requests", CONCURRENCY_RETRY_AFTER.toNanos()));
        }
        return Optional.empty();
    }

    void take(int tokenCount, long nowNanos) {
        requests.tryTake(1, 0, nowNanos);
        tokens.tryTake(tokenCount, 0, nowNanos);
        running++;
    }

    void release() {
        running--;
    }

    boolean isIdle(long nowNanos) {
        return running == 0 && requestDemand.perSecond(nowNanos) < 1e-3;
    }

    private int localConcurrencyLimit() {
        return (int) Math.floor(concurrencyLimit.orElse(Integer.MAX_VALUE) * share.concurrencyShare() + 1e-9);
    }

    private void expireShare(long nowNanos) {
        if (nowNanos - shareSetAtNanos > LimitGate.SHARE_LIFETIME_NANOS) {
            setShare(LimitShare.equal(share.entry(), limits.scope(), share.entries()), nowNanos);
        }
    }

    private void resize(long nowNanos) {
        requestLimit = limits.requestsPerSecond();
        tokenLimit = limits.tokensPerSecond();
        concurrencyLimit = limits.concurrency();
        double requestRate = requestLimit.orElse(0) * share.requestRateShare();
        double tokenRate = tokenLimit.orElse(0) * share.tokenRateShare();
        requests.resize(requestRate, Math.max(1, requestRate * BURST_SECONDS), nowNanos);
        tokens.resize(tokenRate, Math.max(1, tokenRate * BURST_SECONDS), nowNanos);
    }

    private Failure refused(String limit, long retryAfterNanos) {
        return Failure.retryAfter(
                ErrorKind.LIMIT_EXCEEDED,
                "limit exceeded for " + limits.scope() + ": " + limit,
                Duration.ofNanos(retryAfterNanos));
    }
}
