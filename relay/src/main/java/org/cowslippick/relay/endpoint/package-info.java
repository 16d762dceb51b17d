/** Endpoint-facing HTTP client: pooled connections and the responses read from them. */
package org.cowslippick.relay.endpoint;
