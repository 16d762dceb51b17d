package org.cowslippick.fleet.platform;

import org.cowslippick.core.world.Instance;

/** An instance as the platform's list shows it. */
public record ListedInstance(Instance instance, State state) {

    /** What the list says of an instance. */
    public enum State {
        LIVE,
        LEAVING
    }
}
