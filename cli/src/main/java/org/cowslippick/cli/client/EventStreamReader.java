package org.cowslippick.cli.client;

import java.util.function.Consumer;
import org.cowslippick.cli.http.HttpResponse;
import org.cowslippick.core.error.ErrorKind;

/** Parses the server-sent events of a streamed answer: tokens, then a receipt or an error. */
final class EventStreamReader {

    private static final String EVENT_PREFIX = "event: ";
    private static final String DATA_PREFIX = "data: ";
    private static final int STATUS_OK = 200;

    private final Consumer<String> tokenConsumer;
    private String event = "";
    private String receipt = "";
    private String error = "";

    EventStreamReader(Consumer<String> tokenConsumer) {
        this.tokenConsumer = tokenConsumer;
    }

    void acceptLine(String line) {
        if (line.startsWith(EVENT_PREFIX)) {
            event = line.substring(EVENT_PREFIX.length());
        } else if (line.startsWith(DATA_PREFIX)) {
            acceptData(line.substring(DATA_PREFIX.length()));
        }
    }

    /**
     * The result of the finished stream: the receipt as a successful response; an error event, or an end without either
     * event, as a failed one.
     */
    HttpResponse result() {
        if (!receipt.isEmpty()) {
            return new HttpResponse(STATUS_OK, receipt);
        }
        return new HttpResponse(ErrorKind.ENDPOINT_FAILED.httpStatus(), error);
    }

    private void acceptData(String json) {
        switch (event) {
            case "token" ->
                tokenConsumer.accept(CallerClient.parse(json).path("text").asText());
            case "receipt" -> receipt = json;
            case "error" -> error = json;
            default -> {}
        }
    }
}
