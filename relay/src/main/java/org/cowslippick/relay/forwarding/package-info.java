/** Forwarding of requests to endpoints: admission, the wait for a slot, dispatch, the response, and retries. */
package org.cowslippick.relay.forwarding;
