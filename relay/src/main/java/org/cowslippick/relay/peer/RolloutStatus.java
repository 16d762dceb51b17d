package org.cowslippick.relay.peer;

import org.cowslippick.scheduler.rollout.RolloutStage;
import org.cowslippick.scheduler.rollout.RolloutTotals;

/**
 * The progress of a roll-out as the store holds it.
 *
 * @param startedAtMilliseconds when the order was first seen; identifies the order
 * @param totals what had been counted, for operators
 */
public record RolloutStatus(String target, RolloutStage stage, long startedAtMilliseconds, RolloutTotals totals) {}
