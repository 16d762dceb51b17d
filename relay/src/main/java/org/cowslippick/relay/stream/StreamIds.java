package org.cowslippick.relay.stream;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/** Ids of streams, which are equal on all instances. */
public final class StreamIds {

    private static final HashFunction HASH = Hashing.murmur3_128();

    /** The precision of a number from 0 to 1. */
    private static final int FRACTION_BITS = 53;

    private StreamIds() {}

    /** The id of the stream whose first event the attempt of a caller has brought. */
    public static long of(String attemptId) {
        return HASH.hashUnencodedChars(attemptId).asLong();
    }

    /** A number from 0 (inclusive) to 1 (exclusive) that is uniformly distributed over streams. */
    public static double fraction(long stream) {
        return (stream >>> (Long.SIZE - FRACTION_BITS)) / (double) (1L << FRACTION_BITS);
    }
}
