package org.cowslippick.scheduler.rollout;

import org.cowslippick.core.world.ServiceName;

/**
 * What the decider of a roll-out asks of all instances.
 *
 * @param order identifies the order; higher for a later order of the service
 * @param share the share of new requests that the target gets
 * @param exposureShare the bound of the target's share of the requests that one queue has counted
 * @param slack the requests beyond that share that one queue may give to the target
 * @param position rises with each change of the plan by one decider
 */
public record RolloutPlan(
        ServiceName service,
        String target,
        long order,
        RolloutStage stage,
        double share,
        double exposureShare,
        double slack,
        long position) {

    /** Whether this plan replaces the other one; a final stage is only replaced by another order. */
    public boolean replaces(RolloutPlan other) {
        return order != other.order ? order > other.order : stage.isFinal() || !other.stage.isFinal();
    }
}
