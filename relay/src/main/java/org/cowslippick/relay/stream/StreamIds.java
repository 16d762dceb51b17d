package org.cowslippick.relay.stream;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/** Ids of streams, which are equal on all instances. */
public final class StreamIds {

    private static final HashFunction HASH = Hashing.murmur3_128();

    private StreamIds() {}

    /** The id of the stream whose first event the attempt of a caller has brought. */
    public static long of(String attemptId) {
        return HASH.hashUnencodedChars(attemptId).asLong();
    }
}
