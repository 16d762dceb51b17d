package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.routing.LiveEndpoint;

/**
 * What is known of one endpoint: the requests that it holds, its observed speed, and how often it failed lately. Speed
 * is the time to the first token divided by the prompt tokens that had to be read before it.
 */
final class EndpointLoad {

    /** Added to every prompt: the cost of a step, of the connection and of scheduling, in tokens' worth of time. */
    static final double FIXED_WORK_TOKENS = 600;

    private static final double FIRST_NANOS_PER_TOKEN = 12_000;
    private static final double FIRST_NANOS_PER_ANSWER_TOKEN = 4_000_000;

    /** What an engine reads of prompts between two tokens of its streams. */
    private static final long PROMPT_TOKENS_PER_STEP = 2048;

    private static final double FIRST_APPLICATION_NANOS = 80_000_000;
    private static final double SPEED_WEIGHT = 0.2;
    private static final double FAILURE_WEIGHT = 0.25;
    private static final double EJECTION_SHARE = 0.6;
    private static final long FIRST_EJECTION_NANOS = Duration.ofMillis(500).toNanos();
    private static final long LONGEST_EJECTION_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long FAILURE_MEMORY_NANOS = Duration.ofSeconds(5).toNanos();

    private LiveEndpoint endpoint;
    private final Map<SlotKey, Held> held = new HashMap<>();
    private double nanosPerToken = FIRST_NANOS_PER_TOKEN;
    private double nanosPerAnswerToken = FIRST_NANOS_PER_ANSWER_TOKEN;
    private double applicationNanos = FIRST_APPLICATION_NANOS;
    private double unreadTokens;
    private double failureShare;
    private long failedAtNanos;
    private long ejectedUntilNanos;
    private long ejectionNanos = FIRST_EJECTION_NANOS;

    EndpointLoad(LiveEndpoint endpoint, long nowNanos) {
        this.endpoint = endpoint;
        this.failedAtNanos = nowNanos;
        this.ejectedUntilNanos = nowNanos;
    }

    LiveEndpoint endpoint() {
        return endpoint;
    }

    void replace(LiveEndpoint newer) {
        endpoint = newer;
    }

    int freeSlots() {
        return endpoint.leaving() ? 0 : endpoint.slots() - held.size();
    }

    boolean usable(long nowNanos) {
        return !endpoint.leaving() && nowNanos - ejectedUntilNanos >= 0;
    }

    /** The expected time until the first token of one more request. */
    long predictedNanos(SlotRequest request) {
        if (request.promptTokens() == 0) {
            return (long) (applicationNanos * (1.0 + (double) held.size() / endpoint.slots()));
        }
        return (long) ((unreadTokens + work(request)) * nanosPerToken);
    }

    /** The expected time from the first token to the last. */
    long answerNanos(SlotRequest request) {
        return (long) (request.answerTokens() * nanosPerAnswerToken);
    }

    /** Whether reading the prompt would hold up the streams of this endpoint, or its own, for too long. */
    boolean pauses(SlotRequest request) {
        long step = Math.min(request.promptTokens(), PROMPT_TOKENS_PER_STEP);
        return request.maximumPauseNanos() > 0
                && !held.isEmpty()
                && step * request.tokensPerEvent() * nanosPerToken > request.maximumPauseNanos();
    }

    void start(SlotRequest request, long nowNanos) {
        held.put(request.key(), new Held(work(request), unreadTokens + work(request), nowNanos));
        unreadTokens += work(request);
    }

    /** Counts a request that has been running for an unknown time; nothing is learned from it. */
    void adopt(SlotRequest request, long nowNanos) {
        held.put(request.key(), new Held(work(request), work(request), nowNanos).asRead(nowNanos));
    }

    /** The first token of a request arrived, so that its prompt has been read. */
    void answered(SlotRequest request, long nowNanos) {
        Held entry = held.get(request.key());
        if (entry == null || entry.read()) {
            return;
        }
        held.put(request.key(), entry.asRead(nowNanos));
        unreadTokens = Math.max(0, unreadTokens - entry.work());
        long taken = nowNanos - entry.startedAtNanos();
        if (request.promptTokens() == 0) {
            applicationNanos += SPEED_WEIGHT * (taken - applicationNanos);
        } else {
            nanosPerToken += SPEED_WEIGHT * (taken / entry.workAhead() - nanosPerToken);
        }
    }

    /** A request no longer occupies a slot. */
    void end(SlotRequest request, AnswerOutcome outcome, long nowNanos) {
        Held entry = held.remove(request.key());
        if (entry == null) {
            return;
        }
        if (!entry.read()) {
            unreadTokens = Math.max(0, unreadTokens - entry.work());
        } else if (outcome == AnswerOutcome.SOUND && request.answerTokens() > 0) {
            double perToken = (double) (nowNanos - entry.readAtNanos()) / request.answerTokens();
            nanosPerAnswerToken += SPEED_WEIGHT * (perToken - nanosPerAnswerToken);
        }
        judge(outcome, nowNanos);
    }

    private void judge(AnswerOutcome outcome, long nowNanos) {
        if (nowNanos - failedAtNanos > FAILURE_MEMORY_NANOS) {
            failureShare = 0;
            ejectionNanos = FIRST_EJECTION_NANOS;
        }
        failureShare += FAILURE_WEIGHT * (outcome.failure() - failureShare);
        if (outcome.failure() == 0) {
            return;
        }
        failedAtNanos = nowNanos;
        if (failureShare > EJECTION_SHARE || outcome == AnswerOutcome.UNREACHABLE) {
            ejectedUntilNanos = nowNanos + ejectionNanos;
            ejectionNanos = Math.min(2 * ejectionNanos, LONGEST_EJECTION_NANOS);
        }
    }

    /** The share of recent requests that failed here, which makes the endpoint less attractive. */
    double failureShare(long nowNanos) {
        return nowNanos - failedAtNanos > FAILURE_MEMORY_NANOS ? 0 : failureShare;
    }

    private static double work(SlotRequest request) {
        return request.promptTokens() == 0 ? 1 : request.promptTokens() + FIXED_WORK_TOKENS;
    }

    private record Held(double work, double workAhead, long startedAtNanos, boolean read, long readAtNanos) {

        Held(double work, double workAhead, long startedAtNanos) {
            this(work, workAhead, startedAtNanos, false, 0);
        }

        Held asRead(long nowNanos) {
            return new Held(work, workAhead, startedAtNanos, true, nowNanos);
        }
    }
}
