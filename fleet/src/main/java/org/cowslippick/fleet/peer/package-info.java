/**
 * The network between entries: authenticated connections, heartbeats, and delivery of typed messages to subscribers.
 */
package org.cowslippick.fleet.peer;
