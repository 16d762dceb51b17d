package org.cowslippick.standin.engine;

/**
 * How fast a stand-in engine is.
 *
 * @param stepNanos the shortest time of one step, in which every running request gets one token
 * @param stepNanosPerRequest what each running request adds to a step
 * @param prefillTokensPerSecond how fast prompts are computed
 * @param batch the most requests that run at once; more wait in order of arrival
 * @param cacheBlocks how many prompt blocks the prefix cache holds
 */
public record EngineSpeed(
        long stepNanos, long stepNanosPerRequest, double prefillTokensPerSecond, int batch, int cacheBlocks) {

    /** The speed of an engine that is faster by the factor. */
    public EngineSpeed times(double factor) {
        return new EngineSpeed(
                Math.round(stepNanos / factor),
                Math.round(stepNanosPerRequest / factor),
                prefillTokensPerSecond * factor,
                batch,
                cacheBlocks);
    }
}
