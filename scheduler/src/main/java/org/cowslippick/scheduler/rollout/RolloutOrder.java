package org.cowslippick.scheduler.rollout;

import java.time.Duration;
import org.cowslippick.core.world.ServiceName;

/** The order to replace the endpoints of a service by those of the target version within a time limit. */
public record RolloutOrder(ServiceName service, String target, Duration duration) {

    public RolloutOrder {
        if (target.isEmpty()) {
            throw new IllegalArgumentException("the target version of " + service.value() + " is empty");
        }
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException("the duration must be positive: " + duration);
        }
    }
}
