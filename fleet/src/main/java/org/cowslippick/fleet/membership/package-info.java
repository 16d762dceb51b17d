/** Tracks which entries are live, by SWIM-like failure detection and gossip. */
package org.cowslippick.fleet.membership;
