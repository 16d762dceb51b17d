/** The network between entries: connections, heartbeats, and typed messages that parts send and subscribe to. */
package org.cowslippick.fleet.peer;
