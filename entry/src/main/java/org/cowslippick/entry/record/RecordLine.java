package org.cowslippick.entry.record;

import com.google.common.collect.ImmutableSortedMap;
import org.cowslippick.core.error.ErrorKind;

/**
 * The counts of one service at one tier.
 *
 * @param onTime answers that kept the promise
 * @param late whole answers that did not
 * @param failed requests without a whole answer, by kind
 */
public record RecordLine(RecordKey key, long onTime, long late, ImmutableSortedMap<ErrorKind, Long> failed) {

    /** All requests that ended. */
    public long requests() {
        return onTime
                + late
                + failed.values().stream().mapToLong(Long::longValue).sum();
    }
}
