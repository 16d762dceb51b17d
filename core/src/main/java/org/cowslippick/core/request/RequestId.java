package org.cowslippick.core.request;

import java.util.UUID;

/** The ID that cowslippick assigns to each attempt of a caller, unique across all entries. */
public record RequestId(String value) implements Comparable<RequestId> {

    private static final int MAXIMUM_LENGTH_CHARACTERS = 64;

    public RequestId {
        if (value.isEmpty() || value.length() > MAXIMUM_LENGTH_CHARACTERS) {
            throw new IllegalArgumentException("request ID must have 1 to " + MAXIMUM_LENGTH_CHARACTERS
                    + " characters, but has " + value.length());
        }
    }

    public static RequestId random() {
        return new RequestId(UUID.randomUUID().toString());
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
