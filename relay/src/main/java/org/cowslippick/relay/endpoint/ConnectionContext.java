package org.cowslippick.relay.endpoint;

import java.util.function.Consumer;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.time.LoopMonitor;

/** The components that all requests to endpoints share. */
record ConnectionContext(
        TimerService timer,
        LoopMonitor monitor,
        IdleConnections idle,
        HoldBackPolicy holdBacks,
        Consumer<RelayEvent> events,
        Opener opener) {

    /** Opens connections. */
    interface Opener {

        /** Calls one of the consumers when the connection is open or has failed, unless the handle is cancelled. */
        void open(
                LiveEndpoint endpoint,
                EndpointConnections.Handle handle,
                Consumer<EndpointConnection> onOpen,
                Consumer<String> onFailure);
    }
}
