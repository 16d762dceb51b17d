package org.cowslippick.standin.platform;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.ListedInstance;

/** The list of instances, whose changes show after a lag. */
final class LaggingInstances {

    private final TimerService timer;
    private volatile ImmutableList<ListedInstance> shown = ImmutableList.of();

    LaggingInstances(TimerService timer) {
        this.timer = timer;
    }

    void set(ImmutableList<ListedInstance> instances, Duration lag) {
        if (lag.isZero()) {
            shown = instances;
        } else {
            timer.schedule(lag, () -> shown = instances);
        }
    }

    ImmutableList<ListedInstance> shown() {
        return shown;
    }
}
