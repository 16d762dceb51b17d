/** Caller-facing HTTP server: connections, buffered requests and the responses written to them. */
package org.cowslippick.relay.caller;
