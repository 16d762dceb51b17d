package org.cowslippick.cli.http;

/** Why an HTTP request has no response. */
public enum HttpFault {
    /** No connection was established, so nothing was sent. */
    NOT_SENT,
    /** The request was sent, or may have been, and no complete response arrived. */
    RESPONSE_LOST
}
