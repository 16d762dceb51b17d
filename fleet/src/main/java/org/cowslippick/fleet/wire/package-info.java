/** Framing and encoding of the messages between entries: length-prefixed MessagePack with a versioned handshake. */
package org.cowslippick.fleet.wire;
