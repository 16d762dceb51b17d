package org.cowslippick.scheduler.prefix;

import java.time.Duration;

/** What bounds the parts of prompts that the engines of one pool are believed to keep. */
public final class KeptPartsBounds {

    private static final int MAXIMUM_REQUESTS_PER_ENGINE = 64;
    private static final int MAXIMUM_PARTS_PER_ENGINE = PromptPart.MAXIMUM_PARTS * MAXIMUM_REQUESTS_PER_ENGINE;

    /** Over all engines of a pool: 63 engines with 6 requests a second and 4 parts each name 15,120 in the window. */
    private static final int MAXIMUM_PARTS_PER_POOL = 16_384;

    /** Reading a part again later than this after its last use costs nothing, so later beliefs are of little use. */
    private static final long REUSE_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private long memoryTokens;
    private int engines = 1;

    /** Sets the tokens that each engine can hold; with 0 (unknown) no engine is believed to keep anything. */
    public void setMemoryTokens(long tokens) {
        memoryTokens = tokens;
    }

    /** Sets the number of engines that share the bound of the pool. */
    public void setEngines(int count) {
        engines = Math.max(1, count);
    }

    long memoryTokens() {
        return memoryTokens;
    }

    /** At least the parts of one prompt. */
    int partsPerEngine() {
        return Math.max(PromptPart.MAXIMUM_PARTS, Math.min(MAXIMUM_PARTS_PER_ENGINE, MAXIMUM_PARTS_PER_POOL / engines));
    }

    boolean isOutdated(long usedAtNanos, long nowNanos) {
        return nowNanos - usedAtNanos > REUSE_WINDOW_NANOS;
    }
}
