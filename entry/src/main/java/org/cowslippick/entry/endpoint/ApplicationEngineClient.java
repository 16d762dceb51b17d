package org.cowslippick.entry.endpoint;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.entry.endpoint.EndpointCall.ApplicationCall;
import ratpack.http.client.ReceivedResponse;

/** Calls application engines, each call with one HTTP request and one response. */
public final class ApplicationEngineClient implements EndpointClient {

    private static final int REFUSED_STATUS = 503;

    private final EndpointHttpClient http;

    /** Creates a client that sends its requests through the shared HTTP client. */
    public ApplicationEngineClient(EndpointHttpClient http) {
        this.http = http;
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId request, EndpointCall call, DispatchListener listener) {
        OneShotDispatchListener oneShot = new OneShotDispatchListener(listener);
        ApplicationCall application = (ApplicationCall) call;
        http.controller()
                .fork()
                .onError(cause -> requestFailed(endpoint, oneShot, cause))
                .start(_execution -> http.client()
                        .request(EndpointHttpClient.uri(endpoint, "/v1/calls"), spec -> {
                            spec.post();
                            spec.getHeaders().set(EndpointHttpClient.REQUEST_ID_HEADER, request.value());
                            spec.getHeaders()
                                    .set(
                                            EndpointHttpClient.SERVICE_HEADER,
                                            application.service().value());
                            spec.getBody().type("application/json").text(application.body());
                        })
                        .then(response -> responseReceived(endpoint, request, oneShot, response)));
        return oneShot::terminate;
    }

    private static void responseReceived(
            Endpoint endpoint, RequestId request, OneShotDispatchListener oneShot, ReceivedResponse response) {
        String answeredRequest = response.getHeaders().get(EndpointHttpClient.REQUEST_ID_HEADER);
        int status = response.getStatusCode();
        if (status == REFUSED_STATUS && response.getHeaders().contains(EndpointHttpClient.NOT_STARTED_HEADER)) {
            oneShot.refused("endpoint " + endpoint.name() + " refused request " + request);
        } else if (status != 200) {
            oneShot.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ENDPOINT_FAILED,
                            "endpoint " + endpoint.name() + " responded with HTTP status " + status));
        } else if (!request.value().equals(answeredRequest)) {
            oneShot.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ANSWER_MISMATCHED,
                            "endpoint " + endpoint.name() + " responded to request " + request
                                    + " with the answer to another request"));
        } else {
            complete(endpoint, oneShot, response.getBody().getText());
        }
    }

    /** The HTTP client passes on a response that stopped in its head, or had no length, as if it were whole. */
    private static void complete(Endpoint endpoint, OneShotDispatchListener oneShot, String body) {
        if (Json.read(body).isPresent()) {
            oneShot.completed(body);
        } else {
            oneShot.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ENDPOINT_FAILED,
                            "endpoint " + endpoint.name()
                                    + " responded with a body that is not a whole JSON document"));
        }
    }

    private void requestFailed(Endpoint endpoint, OneShotDispatchListener oneShot, Throwable cause) {
        if (EndpointHttpClient.isConnectFailure(cause)) {
            oneShot.notSent("endpoint " + endpoint.name() + " does not accept connections: " + cause.getMessage());
            return;
        }
        Failure failure = Failure.of(
                ErrorKind.ENDPOINT_FAILED,
                "connection to endpoint " + endpoint.name() + " failed: " + cause.getMessage());
        http.probe(
                endpoint,
                reachable -> oneShot.failed(reachable ? DispatchFault.FAILED : DispatchFault.CRASHED, failure));
    }
}
