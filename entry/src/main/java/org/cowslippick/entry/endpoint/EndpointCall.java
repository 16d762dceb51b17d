package org.cowslippick.entry.endpoint;

import org.cowslippick.core.world.ServiceName;

/** What is sent to an endpoint. */
public sealed interface EndpointCall {

    /**
     * A call of a model engine.
     *
     * @param messages the messages as JSON
     */
    record ModelCall(String model, String messages, int maximumAnswerTokens) implements EndpointCall {}

    /**
     * A call of an application engine.
     *
     * @param body the caller's JSON
     */
    record ApplicationCall(ServiceName service, String body) implements EndpointCall {}
}
