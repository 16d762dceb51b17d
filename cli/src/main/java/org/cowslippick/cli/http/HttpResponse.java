package org.cowslippick.cli.http;

/** A complete HTTP response. */
public record HttpResponse(int status, String body) {

    private static final int SUCCESS_STATUS_START = 200;
    private static final int SUCCESS_STATUS_END = 300;

    public boolean isSuccess() {
        return status >= SUCCESS_STATUS_START && status < SUCCESS_STATUS_END;
    }
}
