package org.cowslippick.standin.bench;

import java.time.Duration;
import java.util.Optional;

/**
 * The options of a bench.
 *
 * @param duration how long each policy is loaded; the default duration of the bench if absent
 */
record BenchOptions(Optional<Duration> duration, long seed) {

    Duration durationOr(Duration defaultDuration) {
        return duration.orElse(defaultDuration);
    }
}
