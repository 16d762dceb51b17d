/** The side of the relay that faces callers: connections, requests read whole, and the answers written to them. */
package org.cowslippick.relay.caller;
