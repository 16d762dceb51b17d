package org.cowslippick.core.request;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.TierName;

/**
 * What a caller needs to check that it got what it pays for; it comes with every answer.
 *
 * @param queueTime from arrival to dispatch
 * @param timeToFirstToken from arrival to the first token, or to the whole answer of an application call
 * @param betweenTokens mean time between tokens
 * @param firstTokenTarget the promise for {@code timeToFirstToken}
 * @param betweenTokensTarget the promise for {@code betweenTokens}
 */
public record Receipt(
        RequestId request,
        InstanceName entry,
        TierName tier,
        Optional<EndpointName> endpoint,
        Duration queueTime,
        Optional<Duration> timeToFirstToken,
        Optional<Duration> betweenTokens,
        Duration firstTokenTarget,
        Duration betweenTokensTarget,
        boolean kept) {}
