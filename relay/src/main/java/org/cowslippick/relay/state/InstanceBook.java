package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** The instances that callers may be sent to. */
public final class InstanceBook {

    private final Instance self;
    private volatile ImmutableList<Instance> others = ImmutableList.of();
    private volatile Predicate<InstanceName> serving = _name -> true;
    private volatile boolean selfServing;
    private boolean registryRead;

    public InstanceBook(Instance self) {
        this.self = self;
    }

    public Instance self() {
        return self;
    }

    /** Takes over the registered instances other than this one. */
    public void replace(ImmutableList<Instance> registered) {
        registryRead = true;
        others = registered;
    }

    /** An instance introduced itself; it counts until the registered instances can be read. */
    public void introduced(Instance other) {
        if (!registryRead && !other.name().equals(self.name())) {
            others = Stream.concat(
                            others.stream().filter(known -> !known.name().equals(other.name())), Stream.of(other))
                    .collect(ImmutableList.toImmutableList());
        }
    }

    /** Tells the book how to find out whether another instance serves callers. */
    public void judge(Predicate<InstanceName> judgement) {
        serving = judgement;
    }

    /** Whether this instance takes requests. */
    public void selfServing(boolean yes) {
        selfServing = yes;
    }

    public boolean isSelfServing() {
        return selfServing;
    }

    public ImmutableList<Instance> others() {
        return others;
    }

    /** Addresses for a caller, the nearest first: those of its region, or of all regions if it has none. */
    public ImmutableList<HostAndPort> addresses(String region, String failureDomain, int most) {
        ImmutableList<Instance> working = working();
        ImmutableList<Instance> near = inRegion(working, region);
        return (near.isEmpty() ? working : near)
                .stream()
                        .sorted(java.util.Comparator.comparing(
                                instance -> !instance.failureDomain().name().equals(failureDomain)))
                        .limit(most)
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
