package org.cowslippick.relay.peer;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;

/** A request of this instance that waits for a slot or holds one. */
final class LocalRequest {
    final SlotPool pool;
    final SlotRequest request;
    final SlotListener listener;
    InstanceName owner;

    /** Those that may still count the slot. They are told of its end, as one that was only slow goes on granting. */
    final Set<InstanceName> formerOwners = new HashSet<>();

    Optional<Subscription> timeout = Optional.empty();
    Optional<String> grantedEndpoint = Optional.empty();
    boolean responseStarted;
    SpeedEstimate speed = SpeedEstimate.UNKNOWN;
    Optional<Double> machineLoad = Optional.empty();
    long loadAsOfNanos;

    LocalRequest(SlotPool pool, SlotRequest request, SlotListener listener) {
        this.pool = pool;
        this.request = request;
        this.listener = listener;
        this.owner = request.key().instance();
    }

    void cancelTimeout() {
        timeout.ifPresent(Subscription::cancel);
        timeout = Optional.empty();
    }
}
