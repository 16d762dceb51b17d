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

    /** Whether this plan replaces the other one. What was rolled back stays so until its order is removed. */
    public boolean replaces(RolloutPlan other) {
        if (order != other.order) {
            return order > other.order;
        }
        return switch (other.stage) {
            case PROBE, CANARY, CUTOVER, SEALED -> true;
            case COMPLETED -> stage == RolloutStage.COMPLETED || stage == RolloutStage.WITHDRAWN;
            case ROLLED_BACK -> stage == RolloutStage.ROLLED_BACK || stage == RolloutStage.WITHDRAWN;
            case WITHDRAWN -> stage == RolloutStage.WITHDRAWN;
        };
    }
}
