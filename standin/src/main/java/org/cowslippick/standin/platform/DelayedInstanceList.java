package org.cowslippick.standin.platform;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.ListedInstance;

/** The list of instances; changes become visible after a configurable delay. */
final class DelayedInstanceList {

    private final TimerService timer;
    private volatile ImmutableList<ListedInstance> visible = ImmutableList.of();

    DelayedInstanceList(TimerService timer) {
        this.timer = timer;
    }

    void set(ImmutableList<ListedInstance> instances, Duration delay) {
        if (delay.isZero()) {
            visible = instances;
        } else {
            timer.schedule(delay, () -> visible = instances);
        }
    }

    ImmutableList<ListedInstance> visible() {
        return visible;
    }
}
