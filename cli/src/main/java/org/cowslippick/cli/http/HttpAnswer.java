package org.cowslippick.cli.http;

/** The whole answer of one HTTP call. */
public record HttpAnswer(int status, String body) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_AFTER_SUCCESS = 300;

    public boolean successful() {
        return status >= FIRST_SUCCESS && status < FIRST_AFTER_SUCCESS;
    }
}
