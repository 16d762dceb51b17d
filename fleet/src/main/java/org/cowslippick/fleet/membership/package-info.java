/** Which entries are live: SWIM-like failure detection, gossip, and broadcasts to all of them. */
package org.cowslippick.fleet.membership;
