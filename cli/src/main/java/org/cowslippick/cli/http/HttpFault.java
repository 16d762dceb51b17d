package org.cowslippick.cli.http;

/** Why an HTTP call has no answer. */
public enum HttpFault {
    /** No connection was made, so nothing was sent. */
    NOT_SENT,
    /** The call was sent, or may have been, and no whole answer came back. */
    ANSWER_LOST
}
