package org.cowslippick.fleet.membership;

import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService.Subscription;

/** Provides the current view of the fleet and notifies subscribers of changes. */
public interface MembershipSource {

    Membership current();

    /** Calls the consumer with every new view until the subscription is cancelled. */
    Subscription subscribe(Consumer<Membership> consumer);
}
