package org.cowslippick.relay.flow;

import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Gives out the slots of the endpoints of all services. */
public interface SlotBroker {

    /** Asks for a slot; the listener is called once, perhaps before this method returns. */
    void ask(ServiceName service, SlotRequest request, SlotListener listener);

    /** Takes back a request that has not been granted a slot. */
    void withdraw(ServiceName service, long key);

    /** The first part of the answer has arrived. */
    void answered(ServiceName service, long key);

    /** The slot is free again. */
    void ended(ServiceName service, long key, AnswerOutcome outcome);
}
