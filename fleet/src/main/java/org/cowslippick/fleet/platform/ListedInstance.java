package org.cowslippick.fleet.platform;

import org.cowslippick.core.world.Instance;

/** An instance as shown in the platform's list. */
public record ListedInstance(Instance instance, State state) {

    public enum State {
        LIVE,
        LEAVING
    }
}
