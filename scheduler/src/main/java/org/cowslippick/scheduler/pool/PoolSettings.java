package org.cowslippick.scheduler.pool;

/**
 * The limits of a pool.
 *
 * @param queueCapacity the maximum number of waiting requests
 * @param starvationThresholdNanos the time without a dispatch after which a waiting lower tier is starved
 * @param starvationDispatchInterval the number of dispatches of which a starved tier gets one
 * @param betweenTokensTargetNanos the time between tokens below which endpoints are kept
 * @param maximumPromptBacklogNanos the prompt backlog below which an engine gets another request
 * @param retryShare the maximum number of retries as a share of first attempts
 * @param hedgeShare the maximum number of hedges as a share of first attempts
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
            throw new IllegalArgumentException("queue capacity and starvation dispatch interval must be positive: "
                    + queueCapacity + ", " + starvationDispatchInterval);
        }
    }
}
