package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.engine.EngineMemory;
import org.cowslippick.scheduler.engine.EngineSpeed;
import org.cowslippick.scheduler.engine.PoolSpeeds;
import org.cowslippick.scheduler.limit.TokenBucket;
import org.cowslippick.scheduler.prefix.KeptParts;
import org.cowslippick.scheduler.prefix.KeptPartsBounds;

/**
 * The load, observed speed and recent failures of one endpoint. Prompt speed is the time to the first token divided by
 * the prompt tokens that had to be processed before it; tokens that the endpoint is believed to keep are not charged.
 */
final class EndpointLoad {

    /** Fixed cost per prompt of an engine step, the connection and scheduling, expressed as prompt tokens. */
    static final double OVERHEAD_TOKENS = 600;

    /** Prompt tokens that an engine processes between two tokens of its streams. */
    private static final long PROMPT_TOKENS_PER_STEP = 2048;

    private static final double FAILURE_GAIN = 0.25;
    private static final double EJECTION_FAILURE_SHARE = 0.6;
    private static final long INITIAL_EJECTION_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAXIMUM_EJECTION_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long FAILURE_RETENTION_NANOS = Duration.ofSeconds(5).toNanos();

    /** Below this rate no response would tell in reasonable time that the limit has ended. */
    private static final double MINIMUM_REQUESTS_PER_SECOND = 0.1;

    private LiveEndpoint endpoint;
    private Optional<EndpointRateLimit> rateLimit = Optional.empty();
    private Optional<TokenBucket> allowance = Optional.empty();
    private EndpointNotices.Known notices = EndpointNotices.Known.NOTHING;
    private final InFlightDispatches inFlight;
    private final EngineSpeed speed;
    private final KeptParts kept;
    private double failureShare;
    private long failedAtNanos;
    private long ejectedUntilNanos;
    private long ejectionNanos = INITIAL_EJECTION_NANOS;

    EndpointLoad(LiveEndpoint endpoint, PoolSpeeds pool, KeptPartsBounds keptBounds, long nowNanos) {
        this.endpoint = endpoint;
        this.speed = new EngineSpeed(pool);
        this.kept = new KeptParts(keptBounds);
        this.inFlight = new InFlightDispatches(nowNanos);
        this.failedAtNanos = nowNanos;
        this.ejectedUntilNanos = nowNanos;
    }

    LiveEndpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(LiveEndpoint newEndpoint, long nowNanos) {
        if (!newEndpoint.isSameRun(endpoint)) {
            rateLimit = Optional.empty();
            allowance = Optional.empty();
            kept.forget(nowNanos);
            speed.restarted(newEndpoint.address().equals(endpoint.address()));
        }
        endpoint = newEndpoint;
    }

    /** Sets what the endpoint said about itself. */
    void setNotices(EndpointNotices.Known known) {
        notices = known;
    }

    EngineSpeed speed() {
        return speed;
    }

    /** Whether the request fits into the engine's memory beside those that it runs. */
    boolean hasMemoryFor(SlotRequest request, long memoryTokens) {
        return memoryTokens == 0 || inFlight.hasMemoryFor(memoryTokens(request), memoryTokens);
    }

    boolean isLeaving() {
        return endpoint.leaving() || notices.isLeaving();
    }

    /**
     * Whether the endpoint wants requests from the instance. After a pause it gets one at a time until it has answered one,
     * so that the end of a pause brings no burst.
     */
    boolean accepts(InstanceName instance, long nowNanos) {
        return notices.pausedUntilNanos().isEmpty()
                || notices.pausedUntil(instance)
                        .map(until -> nowNanos - until >= 0 && !inFlight.hasAnyOf(instance))
                        .orElse(true);
    }

    /** The time until the end of the pause that the endpoint asked the instance for. */
    long nanosUntilAccepted(InstanceName instance, long nowNanos) {
        return notices.pausedUntil(instance)
                .map(until -> Math.max(0, until - nowNanos))
                .orElse(0L);
    }

    /** Whether the endpoint asked the instance for a pause that is over now. */
    boolean isPauseOver(InstanceName instance, long nowNanos) {
        return notices.pausedUntil(instance)
                .filter(until -> nowNanos - until >= 0)
                .isPresent();
    }

    /** What is known of the endpoint's rate limit; empty if it has never named one. */
    Optional<EndpointRateLimit> rateLimit() {
        return rateLimit;
    }

    /** Records what the endpoint said about its rate limit, unless something newer is known. */
    void recordRateLimit(EndpointRateLimit reported, long nowNanos) {
        if (rateLimit.filter(known -> !reported.isNewerThan(known)).isPresent()) {
            return;
        }
        rateLimit = Optional.of(reported);
        allowance = reported.requestsPerSecond()
                .map(named -> Math.max(named, MINIMUM_REQUESTS_PER_SECOND))
                .map(rate -> resizedAllowance(rate, nowNanos));
    }

    /** A new allowance is empty, as the endpoint has just received the requests that made it name its limit. */
    private TokenBucket resizedAllowance(double requestsPerSecond, long nowNanos) {
        double burst = Math.max(1, requestsPerSecond);
        TokenBucket bucket = allowance.orElseGet(() -> {
            TokenBucket created = new TokenBucket(requestsPerSecond, burst, nowNanos);
            created.add(-burst);
            return created;
        });
        bucket.resize(requestsPerSecond, burst, nowNanos);
        return bucket;
    }

    boolean isRateLimited() {
        return allowance.isPresent();
    }

    /** The requests that the endpoint accepts in a second; infinite if it has not limited them. */
    double requestsPerSecond() {
        return rateLimit
                .flatMap(EndpointRateLimit::requestsPerSecond)
                .map(named -> Math.max(named, MINIMUM_REQUESTS_PER_SECOND))
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** The time until the rate limit allows another request. */
    long nanosUntilAllowed(long nowNanos) {
        if (allowance.isEmpty() || allowance.get().isAbove(0, nowNanos)) {
            return 0;
        }
        return allowance.get().nanosUntilAbove(0, nowNanos);
    }

    int freeSlots() {
        return isLeaving() ? 0 : endpoint.slots() - inFlight.size();
    }

    boolean isUsable(long nowNanos) {
        return !isLeaving() && nowNanos - ejectedUntilNanos >= 0;
    }

    /** The expected time to the first token of an additional request. */
    long predictedNanos(SlotRequest request, long nowNanos) {
        if (request.promptTokens() == 0) {
            return (long) (callNanos(nowNanos) * (1.0 + (double) inFlight.size() / endpoint.slots()));
        }
        double unread = work(request) - keptTokens(request, nowNanos);
        return (long) ((inFlight.pendingWork() + unread) * nanosPerPromptToken(nowNanos));
    }

    /** The tokens at the beginning of the prompt that the engine is believed to keep, and so need not process. */
    long keptTokens(SlotRequest request, long nowNanos) {
        return request.promptParts().isEmpty()
                ? 0
                : Math.min(request.promptTokens(), kept.tokens(request.promptParts(), nowNanos));
    }

    private double callNanos(long nowNanos) {
        double learnt = speed.callNanos(nowNanos);
        Optional<Dispatch> overdue = inFlight.overdue(nowNanos);
        return overdue.isEmpty()
                ? learnt
                : Math.max(learnt, (double) overdue.get().ageNanos(nowNanos));
    }

    private double nanosPerPromptToken(long nowNanos) {
        double learnt = speed.nanosPerPromptToken(nowNanos);
        Optional<Dispatch> overdue = inFlight.overdue(nowNanos);
        return overdue.isEmpty()
                ? learnt
                : Math.max(
                        learnt, overdue.get().ageNanos(nowNanos) / overdue.get().maximumWorkToFirstToken());
    }

    /** The expected time from the first to the last token. */
    long answerNanos(SlotRequest request) {
        return (long) (request.answerTokens() * speed.nanosPerAnswerToken());
    }

    /** The streams that the endpoint has begun to answer. */
    int answering() {
        return inFlight.answering();
    }

    /** Whether prompts wait to be read, so that the endpoint is about to become less busy by itself. */
    boolean isReading() {
        return inFlight.pendingWork() > 0;
    }

    /**
     * Whether reading the prompt, after those that wait to be read, would keep two events of a running stream apart for
     * longer than the request's bound. An engine reads a part of the prompts in each step, so an event waits for as many
     * parts as it has tokens.
     */
    boolean wouldPauseStreams(SlotRequest request, long nowNanos) {
        if (request.maximumPauseNanos() == 0 || inFlight.answering() == 0) {
            return false;
        }
        double unread = inFlight.pendingWork() + request.promptTokens() - keptTokens(request, nowNanos);
        double promptTokens = Math.min(unread, (double) (PROMPT_TOKENS_PER_STEP * request.tokensPerEvent()));
        return promptTokens * nanosPerPromptToken(nowNanos) + request.tokensPerEvent() * speed.nanosPerAnswerToken()
                > request.maximumPauseNanos();
    }

    void start(SlotRequest request, long nowNanos) {
        allowance.ifPresent(bucket -> bucket.add(-1));
        long keptTokens = keptTokens(request, nowNanos);
        double work = work(request) - keptTokens;
        double workToFirstToken = inFlight.pendingWork() + work;
        double maximumWork = workToFirstToken + inFlight.pendingKeptTokens() + keptTokens;
        long predictedNanos = (long) (predictedNanos(request, nowNanos) * (maximumWork / workToFirstToken));
        kept.recordUse(request.promptParts(), nowNanos);
        inFlight.add(
                request.key(),
                new Dispatch(
                        work,
                        keptTokens,
                        workToFirstToken,
                        maximumWork,
                        memoryTokens(request),
                        predictedNanos,
                        nowNanos));
        kept.evict(inFlight.memoryTokens(), nowNanos);
    }

    /** Adds a request that has been running for an unknown time, so its time to first token is not used as a sample. */
    void adopt(SlotRequest request, long nowNanos) {
        inFlight.add(request.key(), Dispatch.adopted(work(request), memoryTokens(request), nowNanos));
    }

    /** Removes a request of which nothing more is known; it tells nothing about the endpoint. */
    void forget(SlotRequest request) {
        inFlight.remove(request.key());
    }

    /** Records the first token of a request, which implies that its prompt has been processed. */
    void recordAnswerStart(SlotRequest request, long nowNanos) {
        inFlight.startAnswer(request.key(), nowNanos).ifPresent(dispatch -> {
            observeFirstEvent(request, dispatch, nowNanos);
            kept.recordRead(request.promptParts(), dispatch.startedAtNanos(), nowNanos);
            kept.evict(inFlight.memoryTokens(), nowNanos);
        });
    }

    private void observeFirstEvent(SlotRequest request, Dispatch dispatch, long nowNanos) {
        long elapsedNanos = dispatch.ageNanos(nowNanos);
        if (request.promptTokens() == 0) {
            speed.observeCall((double) elapsedNanos, nowNanos);
        } else {
            speed.observePrompt(
                    elapsedNanos / dispatch.maximumWorkToFirstToken(),
                    elapsedNanos / dispatch.workToFirstToken(),
                    nowNanos);
        }
    }

    /** Frees the slot of a request and records its outcome. */
    void end(SlotRequest request, AnswerOutcome outcome, long nowNanos) {
        Optional<Dispatch> overdue = inFlight.overdue(nowNanos);
        Optional<Dispatch> removed = inFlight.remove(request.key());
        if (removed.isEmpty()) {
            return;
        }
        Dispatch dispatch = removed.get();
        if (removed.equals(overdue) && outcome.isEndOfRun()) {
            observeFirstEvent(request, dispatch, nowNanos);
        } else if (dispatch.isWholeAnswer() && outcome == AnswerOutcome.SOUND && request.answerTokens() > 0) {
            speed.observeAnswer((double) (nowNanos - dispatch.answerStartedAtNanos()) / request.answerTokens());
        }
        if (outcome.mayBeCrash()) {
            kept.forget(nowNanos);
        }
        recordOutcome(outcome, nowNanos);
    }

    private void recordOutcome(AnswerOutcome outcome, long nowNanos) {
        if (nowNanos - failedAtNanos > FAILURE_RETENTION_NANOS) {
            failureShare = 0;
            ejectionNanos = INITIAL_EJECTION_NANOS;
        }
        failureShare += FAILURE_GAIN * (outcome.failureWeight() - failureShare);
        if (outcome.failureWeight() == 0) {
            return;
        }
        failedAtNanos = nowNanos;
        if (failureShare > EJECTION_FAILURE_SHARE || outcome == AnswerOutcome.UNREACHABLE) {
            ejectedUntilNanos = nowNanos + ejectionNanos;
            ejectionNanos = Math.min(2 * ejectionNanos, MAXIMUM_EJECTION_NANOS);
        }
    }

    /** The weighted share of recent requests that failed; raises the cost of choosing this endpoint. */
    double failureShare(long nowNanos) {
        return nowNanos - failedAtNanos > FAILURE_RETENTION_NANOS ? 0 : failureShare;
    }

    static double work(SlotRequest request) {
        return request.promptTokens() == 0 ? 1 : request.promptTokens() + OVERHEAD_TOKENS;
    }

    private static long memoryTokens(SlotRequest request) {
        return EngineMemory.tokens(request.promptTokens(), request.answerTokens());
    }
}
