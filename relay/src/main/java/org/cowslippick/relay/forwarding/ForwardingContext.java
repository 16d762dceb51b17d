package org.cowslippick.relay.forwarding;

import java.util.function.Supplier;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.crash.CrashDetector;
import org.cowslippick.relay.endpoint.EndpointConnections;
import org.cowslippick.relay.message.HeaderNames;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.slot.SlotBroker;
import org.cowslippick.relay.stream.StreamVersions;
import org.cowslippick.relay.time.LoopMonitor;

/** The components that all forwarded requests share. */
public record ForwardingContext(
        TimerService timer,
        LoopMonitor monitor,
        HeaderNames names,
        Supplier<RoutingTable> routing,
        SlotBroker slots,
        EndpointConnections connections,
        CrashDetector crashes,
        QuotaLimiter quotas,
        RetryBudget retries,
        RelayMetrics metrics,
        EngineLoadReader engineLoads,
        StreamVersions streams) {}
