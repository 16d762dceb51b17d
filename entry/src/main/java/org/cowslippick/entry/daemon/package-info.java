/** The entry process: startup, connection to the fleet, draining and shutdown. */
package org.cowslippick.entry.daemon;
