package org.cowslippick.core.world;

/** The execution model of an endpoint. */
public enum EndpointKind {
    /** A model engine with continuous batching, a prompt-prefix cache and token streaming. */
    MODEL,
    /** An application that returns one complete answer for each call. */
    APPLICATION
}
