package org.cowslippick.relay.status;

/** A response of the status server. */
public record StatusResponse(int status, String contentType, String body) {

    public static StatusResponse empty(int status) {
        return new StatusResponse(status, "text/plain; charset=utf-8", "");
    }

    public static StatusResponse text(String contentType, String body) {
        return new StatusResponse(200, contentType, body);
    }

    public static StatusResponse json(String body) {
        return new StatusResponse(200, "application/json", body);
    }
}
