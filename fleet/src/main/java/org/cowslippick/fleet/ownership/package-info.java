/** Assigns pools and partitions to owning entries by rendezvous hashing over the live entries. */
package org.cowslippick.fleet.ownership;
