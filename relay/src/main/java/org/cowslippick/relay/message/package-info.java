/** Requests and answers as the relay sees them: opaque bodies, and the headers that it reads, sets or drops. */
package org.cowslippick.relay.message;
