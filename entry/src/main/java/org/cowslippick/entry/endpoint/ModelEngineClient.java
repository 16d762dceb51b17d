package org.cowslippick.entry.endpoint;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.entry.endpoint.EndpointCall.ModelCall;

/** Streams answers from model engines over the OpenAI-style protocol in docs/INTERFACES.md. */
public final class ModelEngineClient implements EndpointClient {

    private final EndpointHttpClient http;

    /** Creates a client that sends its requests through the shared HTTP client. */
    public ModelEngineClient(EndpointHttpClient http) {
        this.http = http;
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId request, EndpointCall call, DispatchListener listener) {
        ModelStream stream = new ModelStream(http, endpoint, request, listener);
        stream.start((ModelCall) call);
        return stream;
    }
}
