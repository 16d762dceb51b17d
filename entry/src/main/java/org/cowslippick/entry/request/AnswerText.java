package org.cowslippick.entry.request;

import org.cowslippick.core.request.Receipt;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.fleet.claim.StoredAnswer;

/** Collects the answer of a request that holds a claim, so that it can be given again. */
final class AnswerText {

    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";

    private final boolean collecting;
    private final boolean application;
    private final StringBuilder text = new StringBuilder();

    AnswerText(AdmittedRequest request) {
        this.collecting = request.claimNeeded();
        this.application = request.call() instanceof EndpointCall.ApplicationCall;
    }

    synchronized void add(String token) {
        if (collecting) {
            text.append(token);
        }
    }

    synchronized StoredAnswer stored(String body) {
        return application ? new StoredAnswer(JSON, body) : new StoredAnswer(TEXT, text.toString());
    }

    static void replay(AdmittedRequest request, StoredAnswer stored, AnswerListener listener, Receipt receipt) {
        if (request.call() instanceof EndpointCall.ApplicationCall) {
            listener.finished(stored.body(), receipt);
        } else {
            listener.token(0, stored.body());
            listener.finished("", receipt);
        }
    }
}
