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

/** Records dispatches; the test acts as the endpoint through their listeners. */
final class FakeEndpointClient implements EndpointClient {

    final List<SentDispatch> sent = new ArrayList<>();

    /** A recorded dispatch. */
    static final class SentDispatch {
        final EndpointName endpoint;
        final DispatchListener listener;
        boolean cancelled;

        SentDispatch(EndpointName endpoint, DispatchListener listener) {
            this.endpoint = endpoint;
            this.listener = listener;
        }
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId _request, EndpointCall _call, DispatchListener listener) {
        SentDispatch sentDispatch = new SentDispatch(endpoint.name(), listener);
        sent.add(sentDispatch);
        return () -> sentDispatch.cancelled = true;
    }
}
