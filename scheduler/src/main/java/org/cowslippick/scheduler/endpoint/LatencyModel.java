package org.cowslippick.scheduler.endpoint;

/**
 * Predicts the time to first token, as a linear function of the prompt tokens processed before it, and the time between
 * tokens, as a moving average. The line is fitted by least squares with exponentially decaying weights. Without samples
 * all predictions are 0.
 */
public final class LatencyModel {

    private static final double DECAY = 0.97;
    private static final double BETWEEN_TOKENS_GAIN = 0.1;
    private static final double MINIMUM_VARIANCE = 1;

    private double weight;
    private double sumTokens;
    private double sumNanos;
    private double sumTokensTokens;
    private double sumTokensNanos;
    private double baseNanos;
    private double nanosPerToken;
    private double betweenTokensNanos;

    /** Records one time to first token. */
    void observeFirstToken(double tokens, double nanos) {
        weight = weight * DECAY + 1;
        sumTokens = sumTokens * DECAY + tokens;
        sumNanos = sumNanos * DECAY + nanos;
        sumTokensTokens = sumTokensTokens * DECAY + tokens * tokens;
        sumTokensNanos = sumTokensNanos * DECAY + tokens * nanos;
        fit();
    }

    /** Records the mean time between the tokens of one answer. */
    void observeBetweenTokens(double nanos) {
        double gain = betweenTokensNanos == 0 ? 1 : BETWEEN_TOKENS_GAIN;
        betweenTokensNanos += gain * (nanos - betweenTokensNanos);
    }

    public boolean hasFirstTokenEstimate() {
        return weight > 0;
    }

    public boolean hasBetweenTokensEstimate() {
        return betweenTokensNanos > 0;
    }

    public double firstTokenNanos(double promptTokens) {
        return baseNanos + nanosPerToken * promptTokens;
    }

    public double nanosPerPromptToken() {
        return nanosPerToken;
    }

    public double betweenTokensNanos() {
        return betweenTokensNanos;
    }

    private void fit() {
        double meanTokens = sumTokens / weight;
        double meanNanos = sumNanos / weight;
        double variance = sumTokensTokens / weight - meanTokens * meanTokens;
        double covariance = sumTokensNanos / weight - meanTokens * meanNanos;
        nanosPerToken = variance > MINIMUM_VARIANCE ? Math.max(0, covariance / variance) : 0;
        baseNanos = meanNanos - nanosPerToken * meanTokens;
        if (baseNanos < 0) {
            baseNanos = 0;
            nanosPerToken = sumTokensNanos / sumTokensTokens;
        }
    }
}
