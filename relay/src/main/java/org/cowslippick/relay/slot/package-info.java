/** Slots of endpoints as the relay asks for them: in the queues of this instance, or from whoever owns a pool. */
package org.cowslippick.relay.slot;
