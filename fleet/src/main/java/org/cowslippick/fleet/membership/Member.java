package org.cowslippick.fleet.membership;

import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** One incarnation of an entry that is in the fleet. */
public record Member(Instance instance, Incarnation incarnation, Status status) {

    public InstanceName name() {
        return instance.name();
    }

    public Region region() {
        return instance.region();
    }

    /** Whether new work may be assigned to it. */
    public boolean acceptsNewWork() {
        return status != Status.LEAVING;
    }

    /** The status of a member, as known to this entry. */
    public enum Status {
        LIVE,
        /** It did not respond; it stays a member until the suspicion timeout passes without a refutation. */
        SUSPECTED,
        /** It finishes its work in progress and accepts no new work. */
        LEAVING
    }
}
