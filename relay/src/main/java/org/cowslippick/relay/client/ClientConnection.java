package org.cowslippick.relay.client;

/** A connection of a client, as far as it takes up memory or a descriptor. */
public interface ClientConnection {

    /** The memory that the process holds for the client, as it was measured last. */
    long heldBytes();

    /** When the request that the client is sending began, or its last response was written. */
    long progressNanos();

    /** What closing the connection would cost the client. */
    Activity activity();

    /** Closes the connection, after a refusal if a request is being received. */
    void evict(EvictionReason reason);

    /** What a connection is doing, in the order in which connections are closed when there are too many. */
    enum Activity {
        /** No request is in progress. */
        IDLE,
        /** A request is being received, or the client does not read responses. */
        STALLING,
        /** A request has been received and not been answered yet. */
        SERVED
    }

    /** The limit that closes a connection. */
    enum EvictionReason {
        MEMORY("client-memory"),
        CONNECTIONS("client-connections");

        private final String text;

        EvictionReason(String text) {
            this.text = text;
        }

        /** The name of the limit in logs and metrics. */
        public String text() {
            return text;
        }
    }
}
