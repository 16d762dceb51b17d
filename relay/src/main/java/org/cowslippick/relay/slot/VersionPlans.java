package org.cowslippick.relay.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.cowslippick.scheduler.rollout.RolloutTotals;
import org.cowslippick.scheduler.rollout.VersionGate;

/** The plans of roll-outs that the queues of this instance apply, also those that are created later. */
final class VersionPlans {

    private final Map<ServiceName, RolloutPlan> plans = new HashMap<>();
    private final Map<ServiceName, ImmutableSet<String>> established = new HashMap<>();
    private Optional<ImmutableSet<ServiceName>> orderedServices = Optional.empty();
    private boolean isEnabled;

    void enable() {
        isEnabled = true;
    }

    /** Sets up the gate of a new queue, which learns of the plan as late as its instance did. */
    void addTo(ServiceName service, VersionGate gate, long nowNanos) {
        if (isEnabled) {
            gate.enable(nowNanos);
            plan(service).ifPresent(plan -> gate.apply(plan, nowNanos));
            gate.addEstablished(established(service));
        }
    }

    /** Records versions of a service that had served when this process started. */
    void addEstablished(ServiceName service, ImmutableSet<String> versions) {
        established.put(service, versions);
    }

    /** Records the services of which the store holds the order of a roll-out. */
    void setOrderedServices(ImmutableSet<ServiceName> services) {
        orderedServices = Optional.of(services);
    }

    /** Those that need not be held back; none as long as there may be an order for the service. */
    ImmutableSet<String> established(ServiceName service) {
        return orderedServices
                .filter(ordered -> !ordered.contains(service))
                .map(_ordered -> established.getOrDefault(service, ImmutableSet.of()))
                .orElseGet(ImmutableSet::of);
    }

    /** Applies a plan, unless it is older than the one in force; returns whether it is in force now and was not. */
    boolean apply(RolloutPlan received, ImmutableCollection<VersionGate> gates, long nowNanos) {
        RolloutPlan before = plans.get(received.service());
        if (before != null && !received.replaces(before)) {
            return false;
        }
        plans.put(received.service(), received);
        gates.forEach(gate -> gate.apply(received, nowNanos));
        return !received.equals(before);
    }

    Optional<RolloutPlan> plan(ServiceName service) {
        return Optional.ofNullable(plans.get(service));
    }

    static RolloutTotals totals(ImmutableCollection<VersionGate> gates) {
        return gates.stream().map(VersionGate::totals).reduce(RolloutTotals.NONE, RolloutTotals::plus);
    }
}
