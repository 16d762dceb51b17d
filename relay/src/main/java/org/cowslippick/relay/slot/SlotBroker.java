package org.cowslippick.relay.slot;

import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Gives out the slots of the endpoints of all services. */
public interface SlotBroker {

    /** A key for the next request of this instance. */
    SlotKey nextKey();

    /** Asks for a slot; the listener is called once, perhaps before this method returns. */
    void request(ServiceName service, SlotRequest request, SlotListener listener);

    /** Takes back a request that has not been granted a slot. */
    void withdraw(SlotKey key);

    /** The first part of the answer has arrived. */
    void responseStarted(SlotKey key);

    /** The slot is free again. */
    void release(SlotKey key, AnswerOutcome outcome);
}
