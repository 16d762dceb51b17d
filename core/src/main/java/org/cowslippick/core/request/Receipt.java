package org.cowslippick.core.request;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.TierName;

/**
 * The measured and the contracted latency of one request, returned with every response, so that a caller can check
 * whether its contract was met.
 *
 * @param queueTime from arrival to dispatch
 * @param timeToFirstToken from arrival to the first token, or to the complete answer of an application call
 * @param betweenTokens mean time between tokens
 * @param firstTokenTarget the contracted limit of {@code timeToFirstToken}
 * @param betweenTokensTarget the contracted limit of {@code betweenTokens}
 * @param kept whether the request was answered within both targets and the deadline
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
