/** Which entry owns a pool or a partition, by rendezvous hashing over the live entries. */
package org.cowslippick.fleet.ownership;
