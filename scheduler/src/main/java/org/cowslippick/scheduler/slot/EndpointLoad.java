package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.limit.TokenBucket;

/**
 * The load, observed speed and recent failures of one endpoint. Prompt speed is the time to the first token divided by
 * the prompt tokens that had to be processed before it.
 */
final class EndpointLoad {

    /** Fixed cost per prompt of an engine step, the connection and scheduling, expressed as prompt tokens. */
    static final double OVERHEAD_TOKENS = 600;

    private static final double INITIAL_NANOS_PER_PROMPT_TOKEN = 12_000;
    private static final double INITIAL_NANOS_PER_ANSWER_TOKEN = 4_000_000;

    /** Prompt tokens that an engine processes between two tokens of its streams. */
    private static final long PROMPT_TOKENS_PER_STEP = 2048;

    private static final double INITIAL_APPLICATION_NANOS = 80_000_000;
    private static final double SPEED_GAIN = 0.2;
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
    private final Map<SlotKey, Dispatch> inFlight = new HashMap<>();
    private double nanosPerPromptToken = INITIAL_NANOS_PER_PROMPT_TOKEN;
    private double nanosPerAnswerToken = INITIAL_NANOS_PER_ANSWER_TOKEN;
    private double applicationNanos = INITIAL_APPLICATION_NANOS;
    private double pendingPromptTokens;
    private double failureShare;
    private long failedAtNanos;
    private long ejectedUntilNanos;
    private long ejectionNanos = INITIAL_EJECTION_NANOS;

    EndpointLoad(LiveEndpoint endpoint, long nowNanos) {
        this.endpoint = endpoint;
        this.failedAtNanos = nowNanos;
        this.ejectedUntilNanos = nowNanos;
    }

    LiveEndpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(LiveEndpoint newEndpoint) {
        if (!newEndpoint.isSameRun(endpoint)) {
            rateLimit = Optional.empty();
            allowance = Optional.empty();
        }
        endpoint = newEndpoint;
    }

    /** Sets what the endpoint said about itself. */
    void setNotices(EndpointNotices.Known known) {
        notices = known;
    }

    boolean isLeaving() {
        return endpoint.leaving() || notices.isLeaving();
    }

    /**
     * Whether the endpoint wants requests from the instance. After a pause it gets one at a time until it has answered one,
     * so that the end of a pause brings no burst.
     */
    boolean accepts(InstanceName instance, long nowNanos) {
        return notices.pausedUntil(instance)
                .map(until -> nowNanos - until >= 0
                        && inFlight.keySet().stream()
                                .noneMatch(key -> key.instance().equals(instance)))
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
        return allowance
                .filter(bucket -> !bucket.isAbove(0, nowNanos))
                .map(bucket -> bucket.nanosUntilAbove(0, nowNanos))
                .orElse(0L);
    }

    int freeSlots() {
        return isLeaving() ? 0 : endpoint.slots() - inFlight.size();
    }

    boolean isUsable(long nowNanos) {
        return !isLeaving() && nowNanos - ejectedUntilNanos >= 0;
    }

    /** The expected time to the first token of an additional request. */
    long predictedNanos(SlotRequest request) {
        if (request.promptTokens() == 0) {
            return (long) (applicationNanos * (1.0 + (double) inFlight.size() / endpoint.slots()));
        }
        return (long) ((pendingPromptTokens + work(request)) * nanosPerPromptToken);
    }

    /** The expected time from the first to the last token. */
    long answerNanos(SlotRequest request) {
        return (long) (request.answerTokens() * nanosPerAnswerToken);
    }

    /** Whether processing the prompt would pause the running streams, or its own, beyond the request's bound. */
    boolean wouldPauseStreams(SlotRequest request) {
        long stepTokens = Math.min(request.promptTokens(), PROMPT_TOKENS_PER_STEP);
        return request.maximumPauseNanos() > 0
                && !inFlight.isEmpty()
                && stepTokens * request.tokensPerEvent() * nanosPerPromptToken > request.maximumPauseNanos();
    }

    void start(SlotRequest request, long nowNanos) {
        allowance.ifPresent(bucket -> bucket.add(-1));
        inFlight.put(request.key(), new Dispatch(work(request), pendingPromptTokens + work(request), nowNanos));
        pendingPromptTokens += work(request);
    }

    /** Adds a request that has been running for an unknown time, so its time to first token is not used as a sample. */
    void adopt(SlotRequest request, long nowNanos) {
        inFlight.put(request.key(), new Dispatch(work(request), work(request), nowNanos).withAnswerStart(nowNanos));
    }

    /** Removes a request of which nothing more is known; it tells nothing about the endpoint. */
    void forget(SlotRequest request) {
        Dispatch dispatch = inFlight.remove(request.key());
        if (dispatch != null && !dispatch.answerStarted()) {
            pendingPromptTokens = Math.max(0, pendingPromptTokens - dispatch.work());
        }
    }

    /** Records the first token of a request, which implies that its prompt has been processed. */
    void recordAnswerStart(SlotRequest request, long nowNanos) {
        Dispatch dispatch = inFlight.get(request.key());
        if (dispatch == null || dispatch.answerStarted()) {
            return;
        }
        inFlight.put(request.key(), dispatch.withAnswerStart(nowNanos));
        pendingPromptTokens = Math.max(0, pendingPromptTokens - dispatch.work());
        long elapsedNanos = nowNanos - dispatch.startedAtNanos();
        if (request.promptTokens() == 0) {
            applicationNanos += SPEED_GAIN * (elapsedNanos - applicationNanos);
        } else {
            nanosPerPromptToken += SPEED_GAIN * (elapsedNanos / dispatch.workToFirstToken() - nanosPerPromptToken);
        }
    }

    /** Frees the slot of a request and records its outcome. */
    void end(SlotRequest request, AnswerOutcome outcome, long nowNanos) {
        Dispatch dispatch = inFlight.remove(request.key());
        if (dispatch == null) {
            return;
        }
        if (!dispatch.answerStarted()) {
            pendingPromptTokens = Math.max(0, pendingPromptTokens - dispatch.work());
        } else if (outcome == AnswerOutcome.SOUND && request.answerTokens() > 0) {
            double observedNanosPerToken =
                    (double) (nowNanos - dispatch.answerStartedAtNanos()) / request.answerTokens();
            nanosPerAnswerToken += SPEED_GAIN * (observedNanosPerToken - nanosPerAnswerToken);
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

    private record Dispatch(
            double work,
            double workToFirstToken,
            long startedAtNanos,
            boolean answerStarted,
            long answerStartedAtNanos) {

        Dispatch(double work, double workToFirstToken, long startedAtNanos) {
            this(work, workToFirstToken, startedAtNanos, false, 0);
        }

        Dispatch withAnswerStart(long nowNanos) {
            return new Dispatch(work, workToFirstToken, startedAtNanos, true, nowNanos);
        }
    }
}
