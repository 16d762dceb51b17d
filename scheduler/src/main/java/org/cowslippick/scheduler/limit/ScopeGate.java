package org.cowslippick.scheduler.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.scheduler.rate.DecayingRate;

/** One entry's part of the limits of one scope. */
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
    private OptionalInt atOnceLimit = OptionalInt.empty();
    private LimitShare share;
    private long shareAtNanos;
    private int running;

    ScopeGate(Limits limits, LimitShare share, long nowNanos) {
        this.limits = limits;
        this.share = share;
        this.shareAtNanos = nowNanos;
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
        shareAtNanos = nowNanos;
        resize(nowNanos);
    }

    Demand demand(long nowNanos) {
        return new Demand(
                requestDemand.perSecond(nowNanos),
                tokenDemand.perSecond(nowNanos),
                running + concurrencyRefusals.perSecond(nowNanos));
    }

    void count(int tokenCount, long nowNanos) {
        requestDemand.add(1, nowNanos);
        tokenDemand.add(tokenCount, nowNanos);
    }

    /** Why a request may not pass, if it may not; changes nothing but the demand. */
    Optional<Failure> refusal(long nowNanos) {
        expireShare(nowNanos);
        if (requestLimit.isPresent() && !requests.has(0, nowNanos)) {
            return Optional.of(refused("requests per second", requests.nanosUntilAbove(0, nowNanos)));
        }
        if (tokenLimit.isPresent() && !tokens.has(0, nowNanos)) {
            return Optional.of(refused("tokens per second", tokens.nanosUntilAbove(0, nowNanos)));
        }
        if (atOnceLimit.isPresent() && running >= atOnceShare()) {
            concurrencyRefusals.add(1, nowNanos);
            return Optional.of(refused("requests at once", CONCURRENCY_RETRY_AFTER.toNanos()));
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

    boolean idle(long nowNanos) {
        return running == 0 && requestDemand.perSecond(nowNanos) < 1e-3;
    }

    private int atOnceShare() {
        return (int) Math.floor(atOnceLimit.orElse(Integer.MAX_VALUE) * share.concurrencyShare() + 1e-9);
    }

    private void expireShare(long nowNanos) {
        if (nowNanos - shareAtNanos > LimitGate.SHARE_LIFETIME_NANOS) {
            setShare(LimitShare.equal(share.entry(), limits.scope(), share.entries()), nowNanos);
        }
    }

    private void resize(long nowNanos) {
        requestLimit = limits.requestsPerSecond();
        tokenLimit = limits.tokensPerSecond();
        atOnceLimit = limits.atOnce();
        double requestRate = requestLimit.orElse(0) * share.requestRateShare();
        double tokenRate = tokenLimit.orElse(0) * share.tokenRateShare();
        requests.resize(requestRate, Math.max(1, requestRate * BURST_SECONDS), nowNanos);
        tokens.resize(tokenRate, Math.max(1, tokenRate * BURST_SECONDS), nowNanos);
    }

    private Failure refused(String what, long retryAfterNanos) {
        return Failure.retryAfter(
                ErrorKind.LIMIT_EXCEEDED,
                "the limit of " + what + " of " + limits.scope() + " is used up",
                Duration.ofNanos(retryAfterNanos));
    }
}
