package org.cowslippick.fleet.peer;

/** Thrown when a handshake does not lead to an authenticated connection. */
final class HandshakeException extends RuntimeException {

    HandshakeException(String message) {
        super(message);
    }
}
