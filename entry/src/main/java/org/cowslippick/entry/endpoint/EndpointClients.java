package org.cowslippick.entry.endpoint;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;

/** Sends each request by the client of its endpoint's kind. */
public final class EndpointClients implements EndpointClient {

    private final EndpointClient modelEngines;
    private final EndpointClient applicationEngines;

    /** Creates the clients of all kinds of endpoints. */
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
