package org.cowslippick.core.world;

import java.time.Duration;

/**
 * What an organisation was promised for a service at a tier, after inheritance.
 *
 * @param firstToken the promised time from arrival to the first token, or to the whole answer of an application call
 * @param betweenTokens the promised mean time between tokens
 * @param deadline how long after arrival an answer is still useful, when the caller names no deadline
 * @param crossRegion whether the contract pays for carrying the request over a link to another region
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

    private static void requirePositive(String what, Duration duration) {
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(what + " of a contract must be positive: " + duration);
        }
    }
}
