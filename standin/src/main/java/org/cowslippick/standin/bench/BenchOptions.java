package org.cowslippick.standin.bench;

import java.time.Duration;
import java.util.Optional;

/**
 * How a bench is run.
 *
 * @param length how long each policy is loaded, in place of the bench's own length
 */
record BenchOptions(Optional<Duration> length, long seed) {

    Duration lengthOr(Duration usual) {
        return length.orElse(usual);
    }
}
