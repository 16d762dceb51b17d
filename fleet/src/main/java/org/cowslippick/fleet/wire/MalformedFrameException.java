package org.cowslippick.fleet.wire;

/** A frame that does not follow the protocol; the connection that it came on is closed. */
public final class MalformedFrameException extends RuntimeException {

    public MalformedFrameException(String message) {
        super(message);
    }

    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
