package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** The instances that callers may be sent to. */
public final class InstanceDirectory {

    private static final long NEVER_READ = -1;

    private final Instance self;
    private volatile ImmutableList<Instance> others = ImmutableList.of();
    private volatile Predicate<InstanceName> serving = _name -> true;
    private volatile boolean selfServing;
    private long revision = NEVER_READ;
    private boolean readsStore;

    public InstanceDirectory(Instance self) {
        this.self = self;
    }

    public Instance self() {
        return self;
    }

    /** Takes over the instances other than this one that the store held at the revision. */
    public void replace(ImmutableList<Instance> registered, long storeRevision) {
        readsStore = true;
        if (storeRevision >= revision && (revision == NEVER_READ || !registered.equals(others))) {
            revision = storeRevision;
            others = registered;
        }
    }

    /** The store is not read here any more; other instances may know more. */
    public void storeLost() {
        readsStore = false;
    }

    /** Whether instances of the revision, read by another instance, would be newer than what can be read here. */
    public boolean isBehind(long storeRevision) {
        return !readsStore && storeRevision > revision;
    }

    /** Takes over the instances that another instance read in the store, if this one cannot read it and knows less. */
    public void applyFromPeer(ImmutableList<Instance> registered, long storeRevision) {
        if (isBehind(storeRevision)) {
            revision = storeRevision;
            others = registered.stream()
                    .filter(instance -> !instance.name().equals(self.name()))
                    .collect(ImmutableList.toImmutableList());
        }
    }

    /** The store's revision at which the instances were read; negative if they never were. */
    public long revision() {
        return revision;
    }

    /** An instance introduced itself; it counts until the registered instances are read anew. */
    public void addAnnounced(Instance other) {
        boolean known = others.stream().anyMatch(instance -> instance.name().equals(other.name()));
        if (!known && !other.name().equals(self.name())) {
            others = Stream.concat(others.stream(), Stream.of(other)).collect(ImmutableList.toImmutableList());
        }
    }

    /** Tells the book how to find out whether another instance serves callers. */
    public void setServingPredicate(Predicate<InstanceName> predicate) {
        serving = predicate;
    }

    /** Whether this instance takes requests. */
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

    /** Addresses for a caller, the nearest first: those of its region, or of all regions if it has none. */
    public ImmutableList<HostAndPort> addresses(String region, String failureDomain, int limit) {
        ImmutableList<Instance> working = working();
        ImmutableList<Instance> near = inRegion(working, region);
        return (near.isEmpty() ? working : near)
                .stream()
                        .sorted(java.util.Comparator.comparing(
                                instance -> !instance.failureDomain().name().equals(failureDomain)))
                        .limit(limit)
                        .map(Instance::callerAddress)
                        .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Instance> working() {
        return Stream.concat(
                        Stream.of(self).filter(_self -> selfServing),
                        others.stream().filter(instance -> serving.test(instance.name())))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<Instance> inRegion(ImmutableList<Instance> instances, String region) {
        return instances.stream()
                .filter(instance -> instance.region().equals(new Region(region)))
                .collect(ImmutableList.toImmutableList());
    }
}
