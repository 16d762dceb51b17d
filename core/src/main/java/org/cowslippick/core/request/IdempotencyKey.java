package org.cowslippick.core.request;

import org.cowslippick.core.world.OrganisationName;

/** A caller-chosen key of one operation: requests of an organisation with the same key are the same operation. */
public record IdempotencyKey(OrganisationName organisation, String key) {

    public static final int MAXIMUM_LENGTH_CHARACTERS = 200;

    public IdempotencyKey {
        if (key.isEmpty() || key.length() > MAXIMUM_LENGTH_CHARACTERS) {
            throw new IllegalArgumentException("idempotency key must have 1 to " + MAXIMUM_LENGTH_CHARACTERS
                    + " characters, but has " + key.length());
        }
    }
}
