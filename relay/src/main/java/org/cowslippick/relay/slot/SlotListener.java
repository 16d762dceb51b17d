package org.cowslippick.relay.slot;

import org.cowslippick.scheduler.slot.SlotDecision;

/** Hears what was decided about a request that waits for a slot. */
public interface SlotListener {

    void granted(SlotDecision.Granted grant);

    void refused(SlotDecision.Refused refusal);
}
