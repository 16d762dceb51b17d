/** Slots of endpoints as the relay requests them: from the queues of this instance, or from the owner of a pool. */
package org.cowslippick.relay.slot;
