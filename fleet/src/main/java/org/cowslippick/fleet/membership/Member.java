package org.cowslippick.fleet.membership;

import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** One run of an entry that is in the fleet. */
public record Member(Instance instance, Incarnation incarnation, Standing standing) {

    public InstanceName name() {
        return instance.name();
    }

    public Region region() {
        return instance.region();
    }

    /** Whether new work may be given to it. */
    public boolean working() {
        return standing != Standing.LEAVING;
    }

    /** What is known of a member. */
    public enum Standing {
        LIVE,
        /** It did not answer lately; it stays a member until that is confirmed. */
        SUSPECTED,
        /** It finishes what it has and takes no new work. */
        LEAVING
    }
}
