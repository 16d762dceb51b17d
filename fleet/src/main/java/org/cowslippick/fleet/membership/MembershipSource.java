package org.cowslippick.fleet.membership;

import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService.Subscription;

/** Where the other parts get the view of the fleet from. */
public interface MembershipSource {

    /** The view of the moment. */
    Membership current();

    /** Calls the consumer with every new view, until cancelled. */
    Subscription subscribe(Consumer<Membership> consumer);
}
