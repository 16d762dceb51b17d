package org.cowslippick.relay.slot;

import org.cowslippick.scheduler.slot.SlotDecision;

/** Receives the decision about a request for a slot. */
public interface SlotListener {

    void granted(SlotDecision.Granted grant);

    void refused(SlotDecision.Refused refusal);
}
