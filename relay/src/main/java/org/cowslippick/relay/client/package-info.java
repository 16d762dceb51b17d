/** Bounds on what the process holds for its clients, at all addresses together: memory and connections. */
package org.cowslippick.relay.client;
