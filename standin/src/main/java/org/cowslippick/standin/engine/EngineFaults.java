package org.cowslippick.standin.engine;

import java.util.Optional;

/**
 * Injected faults of a stand-in engine.
 *
 * @param slowdown factor of the duration of a step; 1 for normal speed
 * @param refuse whether requests are refused before they start
 * @param silent whether connections stay open without data although the requests run
 * @param mismatchedIds whether tokens carry the id of another request
 * @param crashText prompt text that stops the engine, as a crash of its process would
 */
public record EngineFaults(
        double slowdown, boolean refuse, boolean silent, boolean mismatchedIds, Optional<String> crashText) {

    public static final EngineFaults NONE = new EngineFaults(1, false, false, false, Optional.empty());

    /** Returns the faults of an engine whose steps take longer by the factor. */
    public static EngineFaults slowedBy(double factor) {
        return new EngineFaults(factor, false, false, false, Optional.empty());
    }
}
