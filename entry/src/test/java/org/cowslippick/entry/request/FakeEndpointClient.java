package org.cowslippick.entry.request;

import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.entry.endpoint.Dispatch;
import org.cowslippick.entry.endpoint.DispatchListener;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.entry.endpoint.EndpointClient;

/** Remembers dispatches; the test plays the endpoint through their listeners. */
final class FakeEndpointClient implements EndpointClient {

    final List<Sent> sent = new ArrayList<>();

    /** One dispatch. */
    static final class Sent {
        final EndpointName endpoint;
        final DispatchListener listener;
        boolean cancelled;

        Sent(EndpointName endpoint, DispatchListener listener) {
            this.endpoint = endpoint;
            this.listener = listener;
        }
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId _request, EndpointCall _call, DispatchListener listener) {
        Sent dispatch = new Sent(endpoint.name(), listener);
        sent.add(dispatch);
        return () -> dispatch.cancelled = true;
    }
}
