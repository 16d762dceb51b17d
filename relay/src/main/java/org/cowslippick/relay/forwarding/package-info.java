/** The life of one request in the relay: checks, the wait for a slot, dispatch, the answer, and what follows a failure. */
package org.cowslippick.relay.forwarding;
