/** The side of the relay that faces endpoints: connections, and the answers read from them. */
package org.cowslippick.relay.endpoint;
