package org.cowslippick.scheduler.endpoint;

import java.util.stream.Stream;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.EndpointName;

/**
 * The state of one endpoint as observed by its pool. A model engine processes prompts sequentially, so its prompt
 * backlog is kept short; otherwise a request of a high tier would wait inside the engine behind lower tiers. Only
 * {@link EndpointTable} modifies it.
 */
public final class EndpointTracker {

    private static final int REFERENCE_PROMPT_TOKENS = 256;
    private static final int REFERENCE_ANSWER_TOKENS = 64;
    private static final double MAXIMUM_SAMPLE_RATIO = 3;

    private final Endpoint endpoint;
    private final LatencyModel poolLatency;
    private final long maximumPromptBacklogNanos;
    private final LatencyModel latency = new LatencyModel();
    private final EndpointHealth health = new EndpointHealth();
    private final AdmissionWindow window;
    private int inFlight;
    private int pendingPrompts;
    private long pendingPromptTokens;
    private long lastFirstTokenAtNanos = Long.MIN_VALUE;
    private int externalRequests;
    private double score;

    EndpointTracker(
            Endpoint endpoint,
            LatencyModel poolLatency,
            long betweenTokensTargetNanos,
            long maximumPromptBacklogNanos) {
        this.endpoint = endpoint;
        this.poolLatency = poolLatency;
        this.maximumPromptBacklogNanos = maximumPromptBacklogNanos;
        this.window = new AdmissionWindow(endpoint.concurrency(), betweenTokensTargetNanos);
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

    /** The maximum number of concurrent requests; a suspected endpoint gets a single probe. */
    public int window() {
        return health.isSuspected() ? 1 : window.size();
    }

    public boolean isSlow() {
        return health.isSlow();
    }

    public boolean isEjected() {
        return health.isEjected();
    }

    public boolean isSuspected() {
        return health.isSuspected();
    }

    /** The predicted time from dispatch to the first token, including the pending prompts, at the current slowdown. */
    public double firstTokenNanos(double promptTokens) {
        return expectedFirstTokenNanos(promptTokens) * health.firstToken().factor();
    }

    /** The predicted time from dispatch to the first token, including the pending prompts, without slowdown. */
    public double expectedFirstTokenNanos(double promptTokens) {
        return promptModel().firstTokenNanos(pendingPromptTokens + promptTokens);
    }

    /** The prompt tokens of dispatched requests without a first token. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    public double betweenTokensNanos() {
        LatencyModel model = latency.hasBetweenTokensEstimate() ? latency : poolLatency;
        return model.betweenTokensNanos() * health.betweenTokens().factor();
    }

    /** The predicted time from dispatch to the complete answer. */
    public double serviceNanos(double promptTokens, double answerTokens) {
        return firstTokenNanos(promptTokens) + betweenTokensNanos() * answerTokens;
    }

    /** Whether a probe may be sent. An overdue probe may also use a request that cannot be hedged. */
    boolean isProbeDue(boolean idempotent, long nowNanos) {
        return idempotent ? health.isProbeDue(nowNanos) : health.isProbeOverdue(nowNanos);
    }

    long probeAtNanos() {
        return health.probeAtNanos();
    }

    boolean isAvailable() {
        return !health.isSuspected()
                && inFlight < window()
                && (pendingPrompts == 0 || backlogNanos() < maximumPromptBacklogNanos);
    }

    void start(long promptTokens, long nowNanos) {
        inFlight++;
        pendingPrompts++;
        pendingPromptTokens += promptTokens;
        if (health.isSuspected()) {
            health.recordProbe(nowNanos);
        }
    }

    void completePrompt(long promptTokens) {
        pendingPrompts--;
        pendingPromptTokens -= promptTokens;
    }

    void end() {
        inFlight--;
    }

    /**
     * Records a time to first token and returns the ratio of the observed to the predicted time.
     *
     * @param promptTokens the prompt tokens that the endpoint had to process between dispatch and this first token
     */
    double observeFirstToken(long promptTokens, long nanos, long firstTokenAtNanos) {
        lastFirstTokenAtNanos = Math.max(lastFirstTokenAtNanos, firstTokenAtNanos);
        externalRequests = 0;
        double predicted = promptModel().firstTokenNanos((double) promptTokens);
        double ratio = predicted > 0 ? nanos / predicted : 1;
        modelsToUpdate()
                .forEach(model ->
                        model.observeFirstToken((double) promptTokens, boundedSample((double) nanos, predicted)));
        health.firstToken().observe(ratio);
        return ratio;
    }

    /** Records a time between tokens and returns the ratio of the observed to the predicted time. */
    double observeBetweenTokens(long nanos, long nowNanos) {
        double predicted =
                latency.hasBetweenTokensEstimate() ? latency.betweenTokensNanos() : poolLatency.betweenTokensNanos();
        double ratio = predicted > 0 ? nanos / predicted : 1;
        modelsToUpdate().forEach(model -> model.observeBetweenTokens(boundedSample((double) nanos, predicted)));
        health.betweenTokens().observe(ratio);
        window.observe((double) nanos, health.firstToken().factor(), inFlight, nowNanos);
        return ratio;
    }

    /** Records that a first token is missing after {@code ratio} times its predicted time. */
    void observeOverdue(double ratio) {
        health.firstToken().observe(ratio);
    }

    /** Records the reported requests beyond those of this pool, unless a first token was observed after the report. */
    void observeLoad(int requests, long reportedAtNanos) {
        if (reportedAtNanos > lastFirstTokenAtNanos) {
            externalRequests = Math.max(0, requests - inFlight);
        }
    }

    void observeSuccess() {
        health.recordSuccess();
    }

    void observeFault() {
        health.recordFault();
    }

    void updateHealth(double poolSlowdown, boolean maySuspect, long nowNanos) {
        boolean wasSuspected = health.isSuspected();
        health.update(poolSlowdown, maySuspect, nowNanos);
        if (wasSuspected && !health.isSuspected()) {
            window.restart();
        }
    }

    /** The sort key of available endpoints; changes only while the tracker is not in an ordered set. */
    double score() {
        return score;
    }

    void updateScore() {
        score = loadWeightedNanos(REFERENCE_PROMPT_TOKENS, REFERENCE_ANSWER_TOKENS);
    }

    /** The predicted time to the complete answer, weighted by load because each request slows the others. */
    double loadWeightedNanos(double promptTokens, double answerTokens) {
        double load = 1 + (double) (inFlight + externalRequests) / window();
        return (1 + serviceNanos(promptTokens, answerTokens)) * load;
    }

    private double backlogNanos() {
        return endpoint.kind() == EndpointKind.MODEL ? promptModel().nanosPerPromptToken() * pendingPromptTokens : 0;
    }

    /** Samples of a suspected endpoint are not representative of the pool and update only its own model. */
    private Stream<LatencyModel> modelsToUpdate() {
        return health.isSuspected() ? Stream.of(latency) : Stream.of(latency, poolLatency);
    }

    private LatencyModel promptModel() {
        return latency.hasFirstTokenEstimate() ? latency : poolLatency;
    }

    /** Bounds a sample, so that a slow period does not become the prediction at once. */
    private static double boundedSample(double nanos, double predicted) {
        return predicted > 0 ? Math.min(nanos, MAXIMUM_SAMPLE_RATIO * predicted) : nanos;
    }
}
