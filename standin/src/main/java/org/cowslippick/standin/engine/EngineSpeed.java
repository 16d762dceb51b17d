package org.cowslippick.standin.engine;

/**
 * The speed of a stand-in engine.
 *
 * @param stepNanos base duration of a step, which generates one token for every running request
 * @param stepNanosPerRequest time that each running request adds to a step
 * @param prefillTokensPerSecond prefill throughput
 * @param batchSize maximum number of running requests; others wait in order of arrival
 * @param cacheBlocks capacity of the prefix cache in prompt blocks
 */
public record EngineSpeed(
        long stepNanos, long stepNanosPerRequest, double prefillTokensPerSecond, int batchSize, int cacheBlocks) {

    /** Returns the speed of an engine that is faster by the factor. */
    public EngineSpeed scaledBy(double factor) {
        return new EngineSpeed(
                Math.round(stepNanos / factor),
                Math.round(stepNanosPerRequest / factor),
                prefillTokensPerSecond * factor,
                batchSize,
                cacheBlocks);
    }
}
