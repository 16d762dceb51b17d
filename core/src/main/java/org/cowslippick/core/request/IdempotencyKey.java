package org.cowslippick.core.request;

import org.cowslippick.core.world.OrganisationName;

/** What a caller chose to name one piece of work; the same key means the same work, however often it is sent. */
public record IdempotencyKey(OrganisationName organisation, String key) {

    public static final int MAXIMUM_LENGTH_CHARACTERS = 200;

    public IdempotencyKey {
        if (key.isEmpty() || key.length() > MAXIMUM_LENGTH_CHARACTERS) {
            throw new IllegalArgumentException("idempotency key must have 1 to " + MAXIMUM_LENGTH_CHARACTERS
                    + " characters, but has " + key.length());
        }
    }
}
