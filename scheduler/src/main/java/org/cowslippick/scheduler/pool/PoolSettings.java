package org.cowslippick.scheduler.pool;

/**
 * The bounds of a pool.
 *
 * @param queueCapacity the most requests that wait at once
 * @param starvationThresholdNanos how long a lower tier waits without a dispatch before it gets a share of them
 * @param starvationDispatchInterval such a tier gets one dispatch in so many
 * @param betweenTokensTargetNanos the time between tokens that endpoints are kept below
 * @param maximumPromptBacklogNanos the prompt work that an engine may have ahead when it gets a further request
 * @param retryShare retries as a share of first attempts
 * @param hedgeShare hedges as a share of first attempts
 */
public record PoolSettings(
        int queueCapacity,
        long starvationThresholdNanos,
        int starvationDispatchInterval,
        long betweenTokensTargetNanos,
        long maximumPromptBacklogNanos,
        double retryShare,
        double hedgeShare) {

    public static final PoolSettings DEFAULT =
            new PoolSettings(4096, 5_000_000_000L, 32, 58_000_000L, 50_000_000L, 0.1, 0.02);

    public PoolSettings {
        if (queueCapacity < 1 || starvationDispatchInterval < 1) {
            throw new IllegalArgumentException(
                    "queue capacity and starvation turn must be positive: " + queueCapacity + ", " + starvationDispatchInterval);
        }
    }
}
