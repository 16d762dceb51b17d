/**
 * HTTP requests and responses as the relay sees them: opaque bodies, and the headers that it reads, sets or removes.
 */
package org.cowslippick.relay.message;
