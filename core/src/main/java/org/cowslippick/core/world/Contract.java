package org.cowslippick.core.world;

import java.time.Duration;

/**
 * The service-level targets of an organisation for a service at a tier, with inherited settings resolved.
 *
 * @param firstToken the target time from arrival to the first token, or to the complete answer of an application call
 * @param betweenTokens the target mean time between tokens
 * @param deadline the deadline, relative to arrival, of requests for which the caller sets none
 * @param crossRegion whether the contract covers sending requests over a link to another region
 */
public record Contract(
        OrganisationName organisation,
        ServiceName service,
        Tier tier,
        Duration firstToken,
        Duration betweenTokens,
        Duration deadline,
        boolean crossRegion) {

    public Contract {
        requirePositive("first token", firstToken);
        requirePositive("between tokens", betweenTokens);
        requirePositive("deadline", deadline);
    }

    private static void requirePositive(String name, Duration duration) {
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(name + " of a contract must be positive: " + duration);
        }
    }
}
