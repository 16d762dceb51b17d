package org.cowslippick.entry.request;

import org.cowslippick.core.request.Receipt;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.fleet.claim.StoredAnswer;

/** Collects the answer of a request that holds a claim, so that it can be replayed when the request is resent. */
final class StoredAnswerBuilder {

    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";

    private final boolean isCollecting;
    private final boolean isApplicationCall;
    private final StringBuilder text = new StringBuilder();

    StoredAnswerBuilder(AdmittedRequest request) {
        this.isCollecting = request.requiresClaim();
        this.isApplicationCall = request.call() instanceof EndpointCall.ApplicationCall;
    }

    synchronized void append(String token) {
        if (isCollecting) {
            text.append(token);
        }
    }

    synchronized StoredAnswer build(String body) {
        return isApplicationCall ? new StoredAnswer(JSON, body) : new StoredAnswer(TEXT, text.toString());
    }

    static void replay(AdmittedRequest request, StoredAnswer stored, AnswerListener listener, Receipt receipt) {
        if (request.call() instanceof EndpointCall.ApplicationCall) {
            listener.completed(stored.body(), receipt);
        } else {
            listener.tokenReceived(0, stored.body());
            listener.completed("", receipt);
        }
    }
}
