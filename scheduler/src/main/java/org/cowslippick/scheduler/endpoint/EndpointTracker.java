package org.cowslippick.scheduler.endpoint;

import java.util.stream.Stream;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.EndpointName;

/**
 * The state of one endpoint as its pool sees it. A model engine computes prompts one after the other, so the backlog of
 * prompts is kept short: otherwise a request of a high tier would wait inside the engine behind lower ones. Only
 * {@link EndpointTable} changes it.
 */
public final class EndpointTracker {

    private static final int REFERENCE_PROMPT_TOKENS = 256;
    private static final int REFERENCE_ANSWER_TOKENS = 64;
    private static final double LARGEST_LEARNT_RATIO = 3;

    private final Endpoint endpoint;
    private final SpeedModel poolSpeed;
    private final long promptBacklogNanos;
    private final SpeedModel speed = new SpeedModel();
    private final EndpointHealth health = new EndpointHealth();
    private final AdmissionWindow window;
    private int inFlight;
    private int pendingPrompts;
    private long pendingPromptTokens;
    private long lastFirstTokenAtNanos = Long.MIN_VALUE;
    private int foreignRequests;
    private double score;

    EndpointTracker(Endpoint endpoint, SpeedModel poolSpeed, long betweenTokensNanos, long promptBacklogNanos) {
        this.endpoint = endpoint;
        this.poolSpeed = poolSpeed;
        this.promptBacklogNanos = promptBacklogNanos;
        this.window = new AdmissionWindow(endpoint.concurrency(), betweenTokensNanos);
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    public EndpointName name() {
        return endpoint.name();
    }

    public int inFlight() {
        return inFlight;
    }

    /** How many requests it may run at once; one under suspicion runs a single probe. */
    public int window() {
        return health.suspected() ? 1 : window.size();
    }

    public boolean slow() {
        return health.slow();
    }

    public boolean ejected() {
        return health.ejected();
    }

    public boolean suspected() {
        return health.suspected();
    }

    /** The predicted time from dispatch to the first token, behind the prompts that it has to compute before. */
    public double firstTokenNanos(double promptTokens) {
        return expectedFirstTokenNanos(promptTokens) * health.firstToken().factor();
    }

    /** The same for an endpoint at its usual speed. */
    public double expectedFirstTokenNanos(double promptTokens) {
        return promptModel().firstTokenNanos(pendingPromptTokens + promptTokens);
    }

    /** Prompt tokens that were dispatched to it and not answered with a first token yet. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    public double betweenTokensNanos() {
        SpeedModel model = speed.knowsBetweenTokens() ? speed : poolSpeed;
        return model.betweenTokensNanos() * health.betweenTokens().factor();
    }

    /** The predicted time from dispatch to the whole answer. */
    public double serviceNanos(double promptTokens, double answerTokens) {
        return firstTokenNanos(promptTokens) + betweenTokensNanos() * answerTokens;
    }

    /** Whether a probe may be sent; one that is long overdue is sent with a request that cannot be hedged, too. */
    boolean probeDue(boolean idempotent, long nowNanos) {
        return idempotent ? health.probeDue(nowNanos) : health.probeOverdue(nowNanos);
    }

    long probeAtNanos() {
        return health.probeAtNanos();
    }

    boolean available() {
        return !health.suspected()
                && inFlight < window()
                && (pendingPrompts == 0 || backlogNanos() < promptBacklogNanos);
    }

    void start(long promptTokens, long nowNanos) {
        inFlight++;
        pendingPrompts++;
        pendingPromptTokens += promptTokens;
        if (health.suspected()) {
            health.probeSent(nowNanos);
        }
    }

    void promptDone(long promptTokens) {
        pendingPrompts--;
        pendingPromptTokens -= promptTokens;
    }

    void end() {
        inFlight--;
    }

    /**
     * Learns from a first token; returns the ratio of the observed to the predicted time.
     *
     * @param promptTokens that the endpoint had to compute from the dispatch up to this first token
     */
    double observeFirstToken(long promptTokens, long nanos, long firstTokenAtNanos) {
        lastFirstTokenAtNanos = Math.max(lastFirstTokenAtNanos, firstTokenAtNanos);
        foreignRequests = 0;
        double predicted = promptModel().firstTokenNanos((double) promptTokens);
        double ratio = predicted > 0 ? nanos / predicted : 1;
        learningModels()
                .forEach(model -> model.observeFirstToken((double) promptTokens, learnt((double) nanos, predicted)));
        health.firstToken().observe(ratio);
        return ratio;
    }

    /** Learns from an answer; returns the ratio of the observed to the predicted time between tokens. */
    double observeBetweenTokens(long nanos, long nowNanos) {
        double predicted = speed.knowsBetweenTokens() ? speed.betweenTokensNanos() : poolSpeed.betweenTokensNanos();
        double ratio = predicted > 0 ? nanos / predicted : 1;
        learningModels().forEach(model -> model.observeBetweenTokens(learnt((double) nanos, predicted)));
        health.betweenTokens().observe(ratio);
        window.observe((double) nanos, health.firstToken().factor(), inFlight, nowNanos);
        return ratio;
    }

    /** Learns that a first token is still missing after so many times its predicted time. */
    void observeOverdue(double ratio) {
        health.firstToken().observe(ratio);
    }

    /** Requests that the endpoint reported beyond those of this pool, unless something was observed after that. */
    void observeLoad(int requests, long reportedAtNanos) {
        if (reportedAtNanos > lastFirstTokenAtNanos) {
            foreignRequests = Math.max(0, requests - inFlight);
        }
    }

    void observeSuccess() {
        health.success();
    }

    void observeFault() {
        health.fault();
    }

    void judge(double poolFactor, boolean maySuspect, long nowNanos) {
        boolean before = health.suspected();
        health.judge(poolFactor, maySuspect, nowNanos);
        if (before && !health.suspected()) {
            window.restart();
        }
    }

    /** The order in which endpoints are tried; set while the tracker is not in an ordered set. */
    double score() {
        return score;
    }

    void updateScore() {
        score = loadedNanos(REFERENCE_PROMPT_TOKENS, REFERENCE_ANSWER_TOKENS);
    }

    /** The predicted time to the whole answer, weighted by the load, since every request slows the others. */
    double loadedNanos(double promptTokens, double answerTokens) {
        double load = 1 + (double) (inFlight + foreignRequests) / window();
        return (1 + serviceNanos(promptTokens, answerTokens)) * load;
    }

    private double backlogNanos() {
        return endpoint.kind() == EndpointKind.MODEL ? promptModel().nanosPerPromptToken() * pendingPromptTokens : 0;
    }

    /** An endpoint under suspicion teaches nothing about the others. */
    private Stream<SpeedModel> learningModels() {
        return health.suspected() ? Stream.of(speed) : Stream.of(speed, poolSpeed);
    }

    private SpeedModel promptModel() {
        return speed.knowsFirstToken() ? speed : poolSpeed;
    }

    /** Bounds an observation, so that a slow time does not become the expectation at once. */
    private static double learnt(double nanos, double predicted) {
        return predicted > 0 ? Math.min(nanos, LARGEST_LEARNT_RATIO * predicted) : nanos;
    }
}
