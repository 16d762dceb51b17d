package org.cowslippick.relay.caller;

import org.cowslippick.relay.message.CallerRequest;

/** Takes over a request that was read whole. */
@FunctionalInterface
public interface RequestHandler {

    /** Starts to work on the request; the listener that it returns hears of the caller. */
    CallerListener handle(CallerRequest request, CallerExchange exchange);
}
