package org.cowslippick.standin.engine;

import java.util.Optional;

/**
 * The faults that a stand-in engine shows.
 *
 * @param slowdown 1 for none; 10 makes every step ten times as long
 * @param refuse whether it refuses requests before it starts them
 * @param silent whether connections stay open without a byte, although it runs the requests
 * @param crossed whether it answers with the identity of another request
 * @param crashText a text in a prompt that makes the process die
 */
public record EngineFaults(
        double slowdown, boolean refuse, boolean silent, boolean crossed, Optional<String> crashText) {

    public static final EngineFaults NONE = new EngineFaults(1, false, false, false, Optional.empty());

    /** An engine that is slower by the factor. */
    public static EngineFaults slower(double factor) {
        return new EngineFaults(factor, false, false, false, Optional.empty());
    }
}
