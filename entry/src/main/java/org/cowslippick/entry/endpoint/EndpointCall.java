package org.cowslippick.entry.endpoint;

import org.cowslippick.core.world.ServiceName;

/** The content of a request to an endpoint. */
public sealed interface EndpointCall {

    /**
     * A call to a model engine.
     *
     * @param messages the chat messages as JSON
     */
    record ModelCall(String model, String messages, int maximumAnswerTokens) implements EndpointCall {}

    /**
     * A call to an application engine.
     *
     * @param body the JSON sent by the caller, passed on unchanged
     */
    record ApplicationCall(ServiceName service, String body) implements EndpointCall {}
}
