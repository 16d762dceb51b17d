package org.cowslippick.entry.endpoint;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;

/** Sends each request through the client for the kind of its endpoint. */
public final class EndpointClients implements EndpointClient {

    private final EndpointClient modelEngines;
    private final EndpointClient applicationEngines;

    /** Combines the clients of both kinds of endpoint. */
    public EndpointClients(EndpointClient modelEngines, EndpointClient applicationEngines) {
        this.modelEngines = modelEngines;
        this.applicationEngines = applicationEngines;
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId request, EndpointCall call, DispatchListener listener) {
        return switch (endpoint.kind()) {
            case MODEL -> modelEngines.dispatch(endpoint, request, call, listener);
            case APPLICATION -> applicationEngines.dispatch(endpoint, request, call, listener);
        };
    }
}
