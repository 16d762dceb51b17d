package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** The known instances, and whether callers may be directed to them. */
public final class InstanceDirectory {

    /**
     * Allows an instance that does not read the store to hear of the new era, and a failed registration to be repeated.
     * Instances that do not report are not used meanwhile, so a long time does no harm.
     */
    private static final Duration REGISTRATION_GRACE_PERIOD = Duration.ofSeconds(5);

    private final Instance self;
    private final TimerService timer;
    private volatile ImmutableList<Instance> others = ImmutableList.of();
    private volatile Predicate<InstanceName> servingPredicate = _name -> true;
    private volatile boolean selfServing;
    private ImmutableList<Instance> registered = ImmutableList.of();
    private ImmutableList<Instance> kept = ImmutableList.of();
    private long keptUntilNanos;
    private StorePosition position = StorePosition.NEVER_READ;
    private Runnable registrationLostListener = () -> {};

    public InstanceDirectory(Instance self, TimerService timer) {
        this.self = self;
        this.timer = timer;
    }

    public Instance self() {
        return self;
    }

    /** Replaces the other instances by those that a store without eras held at the revision. */
    public void replace(ImmutableList<Instance> entries, long storeRevision) {
        replace(entries, new StorePosition(0, storeRevision));
    }

    /** Replaces the other instances by those that the store held at the position. */
    public void replace(ImmutableList<Instance> entries, StorePosition read) {
        boolean isChange = !position.isRead() || read.isOfNewerEraThan(position) || !entries.equals(registered);
        if (!position.isNewerThan(read) && isChange) {
            apply(entries, read);
        }
    }

    /** Whether this instance knows an older position than the given one. */
    public boolean isBehind(StorePosition other) {
        return other.isNewerThan(position);
    }

    /** Applies instances that another instance read from the store, if {@link #isBehind} holds. */
    public void applyFromPeer(ImmutableList<Instance> entries, StorePosition read) {
        if (!isBehind(read)) {
            return;
        }
        boolean isRegistrationLost =
                read.isOfNewerEraThan(position) && !names(entries).contains(self.name());
        apply(
                entries.stream()
                        .filter(instance -> !instance.name().equals(self.name()))
                        .collect(ImmutableList.toImmutableList()),
                read);
        if (isRegistrationLost) {
            registrationLostListener.run();
        }
    }

    /** Sets what is called when a peer's list of a newer era does not name this instance. */
    public void setRegistrationLostListener(Runnable listener) {
        registrationLostListener = listener;
    }

    /** The store position at which the instances were read. */
    public StorePosition position() {
        return position;
    }

    /** Adds an instance that announced itself; it is kept until the registered instances are next replaced. */
    public void addAnnounced(Instance other) {
        if (!names(others).contains(other.name()) && !other.name().equals(self.name())) {
            registered = Stream.concat(registered.stream(), Stream.of(other)).collect(ImmutableList.toImmutableList());
            publish();
        }
    }

    /** A store that restarts from an older copy lacks instances that have registered since; they are kept for a while. */
    private void apply(ImmutableList<Instance> entries, StorePosition read) {
        if (read.isOfNewerEraThan(position)) {
            kept = others;
            keptUntilNanos = timer.nanoTime() + REGISTRATION_GRACE_PERIOD.toNanos();
            timer.schedule(REGISTRATION_GRACE_PERIOD, this::dropKept);
        }
        position = read;
        registered = entries;
        publish();
    }

    private void dropKept() {
        if (timer.nanoTime() - keptUntilNanos >= 0) {
            kept = ImmutableList.of();
            publish();
        }
    }

    /** An instance that has registered again is no longer kept, so that its removal counts. */
    private void publish() {
        ImmutableSet<InstanceName> names = names(registered);
        kept = kept.stream()
                .filter(instance -> !names.contains(instance.name()))
                .collect(ImmutableList.toImmutableList());
        others = Stream.concat(registered.stream(), kept.stream()).collect(ImmutableList.toImmutableList());
    }

    private static ImmutableSet<InstanceName> names(ImmutableList<Instance> instances) {
        return instances.stream().map(Instance::name).collect(ImmutableSet.toImmutableSet());
    }

    /** Sets the test for whether another instance serves callers. */
    public void setServingPredicate(Predicate<InstanceName> predicate) {
        servingPredicate = predicate;
    }

    /** Sets whether this instance serves callers. */
    public void setSelfServing(boolean isServing) {
        selfServing = isServing;
    }

    public boolean isSelfServing() {
        return selfServing;
    }

    public ImmutableList<Instance> others() {
        return others;
    }

    /** This instance and the others. */
    public ImmutableList<Instance> all() {
        return Stream.concat(Stream.of(self), others.stream()).collect(ImmutableList.toImmutableList());
    }

    /** This instance and the others that are registered, without those that are only kept. */
    public ImmutableList<Instance> allRegistered() {
        return Stream.concat(Stream.of(self), registered.stream()).collect(ImmutableList.toImmutableList());
    }

    /**
     * Addresses for a caller, nearest first: those of its region, or of all regions if no instance there serves
     * callers.
     */
    public ImmutableList<HostAndPort> addresses(String region, String failureDomain, int limit) {
        ImmutableList<Instance> serving = serving();
        ImmutableList<Instance> local = inRegion(serving, region);
        return (local.isEmpty() ? serving : local)
                .stream()
                        .sorted(java.util.Comparator.comparing(
                                instance -> !instance.failureDomain().name().equals(failureDomain)))
                        .limit(limit)
                        .map(Instance::callerAddress)
                        .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Instance> serving() {
        return Stream.concat(
                        Stream.of(self).filter(_self -> selfServing),
                        others.stream().filter(instance -> servingPredicate.test(instance.name())))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<Instance> inRegion(ImmutableList<Instance> instances, String region) {
        return instances.stream()
                .filter(instance -> instance.region().equals(new Region(region)))
                .collect(ImmutableList.toImmutableList());
    }
}
