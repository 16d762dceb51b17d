package org.cowslippick.fleet.wire;

/** Thrown for a frame that violates the protocol; the connection it arrived on is closed. */
public final class MalformedFrameException extends RuntimeException {

    public MalformedFrameException(String message) {
        super(message);
    }

    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
