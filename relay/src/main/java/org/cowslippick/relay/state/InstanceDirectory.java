package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** The known instances, and whether callers may be directed to them. */
public final class InstanceDirectory {

    private static final long NEVER_READ = -1;

    private final Instance self;
    private volatile ImmutableList<Instance> others = ImmutableList.of();
    private volatile Predicate<InstanceName> servingPredicate = _name -> true;
    private volatile boolean selfServing;
    private long revision = NEVER_READ;

    public InstanceDirectory(Instance self) {
        this.self = self;
    }

    public Instance self() {
        return self;
    }

    /** Replaces the other instances by those that the store held at the revision. */
    public void replace(ImmutableList<Instance> registered, long storeRevision) {
        if (storeRevision >= revision && (revision == NEVER_READ || !registered.equals(others))) {
            revision = storeRevision;
            others = registered;
        }
    }

    /** Whether this instance knows an older revision than the given one. */
    public boolean isBehind(long storeRevision) {
        return storeRevision > revision;
    }

    /** Applies instances that another instance read from the store, if {@link #isBehind} holds. */
    public void applyFromPeer(ImmutableList<Instance> registered, long storeRevision) {
        if (isBehind(storeRevision)) {
            revision = storeRevision;
            others = registered.stream()
                    .filter(instance -> !instance.name().equals(self.name()))
                    .collect(ImmutableList.toImmutableList());
        }
    }

    /** The store revision at which the instances were read; negative before the first read. */
    public long revision() {
        return revision;
    }

    /** Adds an instance that announced itself; it is kept until the registered instances are next replaced. */
    public void addAnnounced(Instance other) {
        boolean known = others.stream().anyMatch(instance -> instance.name().equals(other.name()));
        if (!known && !other.name().equals(self.name())) {
            others = Stream.concat(others.stream(), Stream.of(other)).collect(ImmutableList.toImmutableList());
        }
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
