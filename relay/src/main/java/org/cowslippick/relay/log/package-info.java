/** Structured logging as JSON lines through a bounded buffer, without blocking the caller. */
package org.cowslippick.relay.log;
