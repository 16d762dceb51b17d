package org.cowslippick.entry.endpoint;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;

/** Sends requests to endpoints of one kind. */
public interface EndpointClient {

    /** Sends the request once, without blocking; the listener receives the answer. */
    Dispatch dispatch(Endpoint endpoint, RequestId request, EndpointCall call, DispatchListener listener);
}
