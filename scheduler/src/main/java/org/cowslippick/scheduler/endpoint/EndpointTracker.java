package org.cowslippick.scheduler.endpoint;

import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;

/** The state of one endpoint as its pool sees it. Only {@link EndpointTable} changes it. */
public final class EndpointTracker {

    private static final int REFERENCE_PROMPT_TOKENS = 256;
    private static final int REFERENCE_ANSWER_TOKENS = 64;

    private final Endpoint endpoint;
    private final SpeedModel speed = new SpeedModel();
    private final SpeedModel poolSpeed;
    private int inFlight;
    private long pendingPromptTokens;
    private double score;

    EndpointTracker(Endpoint endpoint, SpeedModel poolSpeed) {
        this.endpoint = endpoint;
        this.poolSpeed = poolSpeed;
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

    public int window() {
        return endpoint.concurrency();
    }

    /** Prompt tokens that were dispatched to it and not answered with a first token yet. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** The predicted time from dispatch to the first token behind the prompts that it has to compute before. */
    public double firstTokenNanos(double promptTokens) {
        SpeedModel model = speed.knowsFirstToken() ? speed : poolSpeed;
        return model.firstTokenNanos(pendingPromptTokens + promptTokens);
    }

    public double betweenTokensNanos() {
        SpeedModel model = speed.knowsBetweenTokens() ? speed : poolSpeed;
        return model.betweenTokensNanos();
    }

    /** The predicted time from dispatch to the whole answer. */
    public double serviceNanos(double promptTokens, double answerTokens) {
        return firstTokenNanos(promptTokens) + betweenTokensNanos() * answerTokens;
    }

    SpeedModel speed() {
        return speed;
    }

    boolean available() {
        return inFlight < window();
    }

    void start(long promptTokens) {
        inFlight++;
        pendingPromptTokens += promptTokens;
    }

    void firstToken(long promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    void end() {
        inFlight--;
    }

    /** The order in which endpoints are tried; set while the tracker is not in an ordered set. */
    double score() {
        return score;
    }

    void updateScore() {
        double load = 1 + (double) inFlight / window();
        score = (1 + serviceNanos(REFERENCE_PROMPT_TOKENS, REFERENCE_ANSWER_TOKENS)) * load;
    }
}
