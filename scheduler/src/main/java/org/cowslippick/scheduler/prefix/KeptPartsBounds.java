package org.cowslippick.scheduler.prefix;

/** What bounds the parts of prompts that the engines of one pool are believed to keep. */
public final class KeptPartsBounds {

    private static final int MAXIMUM_REQUESTS_PER_ENGINE = 64;
    private static final int MAXIMUM_PARTS_PER_ENGINE = PromptPart.MAXIMUM_PARTS * MAXIMUM_REQUESTS_PER_ENGINE;

    /** Over all engines of a pool: 63 engines with 6 requests a second and 4 parts each name 15,120 in the window. */
    private static final int MAXIMUM_PARTS_PER_POOL = 16_384;

    private long memoryTokens;
    private long reuseWindowNanos;
    private int engines = 1;

    /** Sets the tokens that each engine can hold; with 0 (unknown) no engine is believed to keep anything. */
    public void setMemoryTokens(long tokens) {
        memoryTokens = tokens;
    }

    /** Sets how long after its last use a part counts as kept. */
    public void setReuseWindow(long nanos) {
        reuseWindowNanos = nanos;
    }

    /** Sets the number of engines that share the bound of the pool. */
    public void setEngines(int count) {
        engines = Math.max(1, count);
    }

    boolean isEnabled() {
        return memoryTokens > 0 && reuseWindowNanos > 0;
    }

    long memoryTokens() {
        return memoryTokens;
    }

    /** At least the parts of one prompt. */
    int partsPerEngine() {
        return Math.max(PromptPart.MAXIMUM_PARTS, Math.min(MAXIMUM_PARTS_PER_ENGINE, MAXIMUM_PARTS_PER_POOL / engines));
    }

    boolean isOutdated(long usedAtNanos, long nowNanos) {
        return nowNanos - usedAtNanos > reuseWindowNanos;
    }
}
