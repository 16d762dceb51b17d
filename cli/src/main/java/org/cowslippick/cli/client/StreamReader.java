package org.cowslippick.cli.client;

import java.util.function.Consumer;
import org.cowslippick.cli.http.HttpAnswer;
import org.cowslippick.core.error.ErrorKind;

/** Reads the lines of an answer's server-sent events: tokens, then a receipt or an error. */
final class StreamReader {

    private static final String EVENT = "event: ";
    private static final String DATA = "data: ";
    private static final int SUCCESS = 200;

    private final Consumer<String> tokens;
    private String event = "";
    private String receipt = "";
    private String error = "";

    StreamReader(Consumer<String> tokens) {
        this.tokens = tokens;
    }

    void line(String line) {
        if (line.startsWith(EVENT)) {
            event = line.substring(EVENT.length());
        } else if (line.startsWith(DATA)) {
            data(line.substring(DATA.length()));
        }
    }

    /** The receipt as a successful answer; the error, or a stream that ended without either, as a failed one. */
    HttpAnswer ended() {
        if (!receipt.isEmpty()) {
            return new HttpAnswer(SUCCESS, receipt);
        }
        return new HttpAnswer(ErrorKind.ENDPOINT_FAILED.httpStatus(), error);
    }

    private void data(String json) {
        switch (event) {
            case "token" -> tokens.accept(CallerClient.parse(json).path("text").asText());
            case "receipt" -> receipt = json;
            case "error" -> error = json;
            default -> {}
        }
    }
}
