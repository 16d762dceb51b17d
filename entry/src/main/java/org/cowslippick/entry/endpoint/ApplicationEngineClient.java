package org.cowslippick.entry.endpoint;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.entry.endpoint.EndpointCall.ApplicationCall;
import ratpack.http.client.ReceivedResponse;

/** Makes plain calls of application engines. */
public final class ApplicationEngineClient implements EndpointClient {

    private static final int REFUSED_STATUS = 503;

    private final EndpointHttp http;

    /** Creates a client that shares the HTTP client. */
    public ApplicationEngineClient(EndpointHttp http) {
        this.http = http;
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId request, EndpointCall call, DispatchListener listener) {
        SingleEnding ending = new SingleEnding(listener);
        ApplicationCall application = (ApplicationCall) call;
        http.controller()
                .fork()
                .onError(cause -> broken(endpoint, ending, cause))
                .start(_execution -> http.client()
                        .request(EndpointHttp.uri(endpoint, "/v1/calls"), spec -> {
                            spec.post();
                            spec.getHeaders().set(EndpointHttp.REQUEST_ID_HEADER, request.value());
                            spec.getHeaders()
                                    .set(
                                            EndpointHttp.SERVICE_HEADER,
                                            application.service().value());
                            spec.getBody().type("application/json").text(application.body());
                        })
                        .then(response -> answered(endpoint, request, ending, response)));
        return ending::end;
    }

    private static void answered(Endpoint endpoint, RequestId request, SingleEnding ending, ReceivedResponse response) {
        String answered = response.getHeaders().get(EndpointHttp.REQUEST_ID_HEADER);
        int status = response.getStatusCode();
        if (status == REFUSED_STATUS && response.getHeaders().contains(EndpointHttp.NOT_STARTED_HEADER)) {
            ending.refused("endpoint " + endpoint.name() + " refused request " + request);
        } else if (status != 200) {
            ending.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ENDPOINT_FAILED,
                            "endpoint " + endpoint.name() + " answered with status " + status));
        } else if (!request.value().equals(answered)) {
            ending.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ANSWER_MISMATCHED,
                            "endpoint " + endpoint.name() + " answered request " + request + " with that of another"));
        } else {
            ending.finished(response.getBody().getText());
        }
    }

    private void broken(Endpoint endpoint, SingleEnding ending, Throwable cause) {
        if (EndpointHttp.notSent(cause)) {
            ending.notSent("endpoint " + endpoint.name() + " accepts no connection: " + cause.getMessage());
            return;
        }
        Failure failure = Failure.of(
                ErrorKind.ENDPOINT_FAILED,
                "the connection to endpoint " + endpoint.name() + " broke: " + cause.getMessage());
        http.probe(endpoint, alive -> ending.failed(alive ? DispatchFault.FAILED : DispatchFault.CRASHED, failure));
    }
}
