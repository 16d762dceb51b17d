package org.cowslippick.relay.status;

/** A small answer. */
public record StatusAnswer(int status, String contentType, String body) {

    public static StatusAnswer empty(int status) {
        return new StatusAnswer(status, "text/plain; charset=utf-8", "");
    }

    public static StatusAnswer json(String body) {
        return new StatusAnswer(200, "application/json", body);
    }
}
