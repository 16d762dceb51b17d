package org.cowslippick.relay.caller;

import org.cowslippick.relay.message.CallerRequest;

/** Handles requests whose body has been read completely. */
@FunctionalInterface
public interface RequestHandler {

    /** Starts to handle the request; the returned listener receives the events of the caller's connection. */
    CallerListener handle(CallerRequest request, CallerExchange exchange);
}
