package org.cowslippick.core.world;

/** What an endpoint runs. */
public enum EndpointKind {
    /** Batches continuously, caches prompt prefixes and streams tokens. */
    MODEL,
    /** Answers one plain call with one whole answer. */
    APPLICATION
}
