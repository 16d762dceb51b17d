package org.cowslippick.entry.record;

import com.google.common.collect.ImmutableSortedMap;
import org.cowslippick.core.error.ErrorKind;

/**
 * The counts of one service at one tier.
 *
 * @param onTime complete answers that met their latency targets and deadline
 * @param late complete answers that missed one of them
 * @param failed requests without a complete answer, by error kind
 */
public record RecordLine(RecordKey key, long onTime, long late, ImmutableSortedMap<ErrorKind, Long> failed) {

    /** The number of requests that ended, with or without an answer. */
    public long requests() {
        return onTime
                + late
                + failed.values().stream().mapToLong(Long::longValue).sum();
    }
}
