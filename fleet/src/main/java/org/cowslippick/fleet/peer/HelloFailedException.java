package org.cowslippick.fleet.peer;

/** A hello that did not lead to an authenticated connection. */
final class HelloFailedException extends RuntimeException {

    HelloFailedException(String message) {
        super(message);
    }
}
