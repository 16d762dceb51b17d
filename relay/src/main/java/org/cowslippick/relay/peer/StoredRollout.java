package org.cowslippick.relay.peer;

import java.util.Optional;
import org.cowslippick.scheduler.rollout.RolloutOrder;

/** An order in the store, and its progress if any was written for the same target. */
public record StoredRollout(RolloutOrder order, Optional<RolloutStatus> status) {}
