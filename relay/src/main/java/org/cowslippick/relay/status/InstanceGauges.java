package org.cowslippick.relay.status;

import java.time.Duration;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.relay.caller.CallerConnections;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.peer.FleetMembership;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.relay.state.RoutingState;
import org.cowslippick.relay.time.LoopMonitor;

/** What an instance knows and how busy it is, as gauges. */
public record InstanceGauges(
        LoopMonitor monitor,
        CallerConnections callers,
        LocalSlotQueues localQueues,
        FleetMembership fleet,
        InstanceDirectory instances,
        RoutingState routing,
        EndpointDirectory endpoints) {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Adds a gauge for each. */
    public void addTo(RelayMetrics metrics) {
        metrics.addGauge(
                "loop_lag_seconds",
                "For how long bytes that are read now may have waited.",
                () -> seconds(monitor.lag()));
        metrics.addGauge(
                "loop_longest_delay_seconds",
                "The longest delay of the event loop since the last scrape.",
                () -> seconds(monitor.takeLongestDelay()));
        metrics.addGauge("caller_connections", "Open connections of callers.", callers::size);
        metrics.addGauge("caller_connections_busy", "Connections with a request in progress.", callers::busyCount);
        metrics.addGauge(
                "caller_buffered_bytes", "Memory of the bodies of unanswered requests.", callers::bufferedBytes);
        metrics.addGauge("queue_waiting", "Requests that wait in the queues of this instance.", () -> localQueues
                .totalLoad()
                .waiting());
        metrics.addGauge("queue_free_slots", "Free slots in the queues of this instance.", () -> localQueues
                .totalLoad()
                .freeSlots());
        metrics.addGauge("pools_owned", "Pools that this instance owns.", fleet::ownedPoolCount);
        metrics.addGauge("members_live", "Live instances, this one included.", fleet::memberCount);
        metrics.addGauge(
                "collector", "Whether this instance reads the store for others.", () -> flag(fleet.isCollector()));
        metrics.addGauge("serving", "Whether this instance serves callers.", () -> flag(instances.isSelfServing()));
        metrics.addGauge("configuration_version", "The configuration in force.", () -> routing.current()
                .version());
        metrics.addGauge(
                "endpoints", "Endpoints in use.", () -> endpoints.active().size());
        metrics.addGauge(
                "endpoints_leaving",
                "Endpoints whose entry says that they leave.",
                () -> endpoints.active().stream().filter(LiveEndpoint::leaving).count());
        metrics.addGauge("endpoints_revision", "The revision of the store at which they were read.", () -> endpoints
                .position()
                .revision());
        metrics.addGauge("store_era", "The era of the store at which they were read.", () -> endpoints
                .position()
                .era());
        metrics.addGauge(
                "store_unavailable",
                "Whether this instance cannot read the store.",
                () -> flag(endpoints.isStoreUnavailable()));
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOSECONDS_PER_SECOND;
    }

    private static double flag(boolean isSet) {
        return isSet ? 1 : 0;
    }
}
