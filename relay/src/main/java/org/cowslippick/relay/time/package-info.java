/** Timers on an event loop. */
package org.cowslippick.relay.time;
