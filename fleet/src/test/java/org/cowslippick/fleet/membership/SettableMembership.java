package org.cowslippick.fleet.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService.Subscription;

/** A membership source whose view is set by a test. */
public final class SettableMembership implements MembershipSource {

    private final List<Consumer<Membership>> consumers = new CopyOnWriteArrayList<>();
    private Membership current;

    public SettableMembership(Membership current) {
        this.current = current;
    }

    public void set(Membership next) {
        current = next;
        consumers.forEach(consumer -> consumer.accept(next));
    }

    @Override
    public Membership current() {
        return current;
    }

    @Override
    public Subscription subscribe(Consumer<Membership> consumer) {
        consumers.add(consumer);
        return () -> consumers.remove(consumer);
    }
}
