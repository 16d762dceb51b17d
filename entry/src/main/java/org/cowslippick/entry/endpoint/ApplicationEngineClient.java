package org.cowslippick.entry.endpoint;

import io.netty.handler.codec.http.FullHttpRequest;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.entry.endpoint.EndpointCall.ApplicationCall;

/** Calls application engines, each call with one HTTP request and one response. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class ApplicationEngineClient implements EndpointClient {

    private static final String PATH = "/v1/calls";

    private final EndpointHttpClient http;

    /** Creates a client that sends its requests through the shared HTTP client. */
    public ApplicationEngineClient(EndpointHttpClient http) {
        this.http = http;
    }

    @Override
    public Dispatch dispatch(Endpoint endpoint, RequestId request, EndpointCall call, DispatchListener listener) {
        OneShotDispatchListener oneShot = new OneShotDispatchListener(listener);
        ApplicationCall application = (ApplicationCall) call;
        http.exchange(endpoint, toRequest(request, application)).whenComplete((response, failure) -> {
            if (failure == null) {
                responseReceived(endpoint, request, oneShot, response);
            } else {
                requestFailed(endpoint, oneShot, failure);
            }
        });
        return oneShot::terminate;
    }

    private static FullHttpRequest toRequest(RequestId request, ApplicationCall call) {
        FullHttpRequest httpRequest = EndpointHttpClient.post(PATH, request, call.body());
        httpRequest
                .headers()
                .set(EndpointHttpClient.SERVICE_HEADER, call.service().value());
        return httpRequest;
    }

    private static void responseReceived(
            Endpoint endpoint, RequestId request, OneShotDispatchListener oneShot, EngineResponse response) {
        String answeredRequest = response.headers().get(EndpointHttpClient.REQUEST_ID_HEADER);
        int status = response.status();
        if (EndpointHttpClient.isRefusal(status, response.headers())) {
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
            complete(endpoint, oneShot, response.body());
        }
    }

    /** A response without a length counts as whole wherever its connection is closed. */
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
                ErrorKind.ENDPOINT_FAILED, "connection to endpoint " + endpoint.name() + " failed: " + cause);
        http.probe(
                endpoint,
                reachable -> oneShot.failed(reachable ? DispatchFault.FAILED : DispatchFault.CRASHED, failure));
    }
}
