package org.cowslippick.scheduler.rollout;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.routing.LiveEndpoint;

/**
 * Applies the plan of a roll-out in one queue: which versions a request may use. The queue keeps the exposure bound by
 * its own counts at each grant, so delayed messages do not break it. Without a plan, and without a new version, all
 * endpoints may be used.
 */
public final class VersionGate {

    /** The queue stops below its bound, as other queues may count the same request. */
    static final double BOUND_MARGIN = 0.95;

    /** Longer than an order takes to reach all instances. */
    private static final Duration NEW_VERSION_HOLD = Duration.ofSeconds(3);

    /** Several repetitions of the plan; afterwards its decider is taken to be lost. */
    private static final Duration PLAN_TIMEOUT = Duration.ofSeconds(2);

    /** Requests of one route that the target may get at once after a time without any. */
    private static final double MAXIMUM_CREDIT = 3;

    private final VersionMeter meter = new VersionMeter();
    private final VersionRuns runs = new VersionRuns(meter);
    private final Map<String, Long> heldUntilNanos = new HashMap<>();
    private final Set<String> knownVersions = new HashSet<>();
    private final Map<Integer, Double> credits = new HashMap<>();
    private ImmutableSet<String> probed = ImmutableSet.of();
    private ImmutableCollection<LiveEndpoint> endpoints = ImmutableSet.of();
    private Optional<RolloutPlan> plan = Optional.empty();
    private long planAtNanos;
    private boolean isEnabled;
    private boolean isOwner = true;

    /** Whether the roll-out is completed and its old endpoints are gone. */
    private boolean isDone;

    private long requests;
    private long exposure;

    /** Which endpoints a request may use. */
    public enum Choice {
        /** Any. */
        ANY,
        /** Those of the old version. */
        OLD,
        /** Those of the target, or of the old version if the target has no room. */
        TARGET_OR_OLD,
        /** Those of the target; the request waits for one. */
        TARGET
    }

    /** Makes the gate count, and hold back new versions; without this call it lets everything pass. */
    public void enable(long nowNanos) {
        isEnabled = true;
        setEndpoints(endpoints, nowNanos);
    }

    /** Sets whether the queue is that of the pool's owner; only that one uses the slack of the bound. */
    public void setOwner(boolean owner) {
        isOwner = owner;
    }

    public boolean isEnabled() {
        return isEnabled;
    }

    /** Applies a plan, unless it is older than the one in force. */
    public void apply(RolloutPlan received, long nowNanos) {
        if (plan.isPresent() && !received.replaces(plan.get())) {
            return;
        }
        if (plan.map(RolloutPlan::order)
                .filter(order -> order == received.order())
                .isEmpty()) {
            meter.reset();
            runs.ignoreRunning();
            credits.clear();
            requests = 0;
            exposure = 0;
            isDone = false;
        }
        plan = Optional.of(received);
        planAtNanos = nowNanos;
        heldUntilNanos.remove(received.target());
        selectProbed();
    }

    /** Takes the endpoints of the queue; a version that appears beside others is held back for a moment. */
    public void setEndpoints(ImmutableCollection<LiveEndpoint> current, long nowNanos) {
        endpoints = current;
        if (!isEnabled) {
            return;
        }
        if (knownVersions.isEmpty()) {
            current.stream()
                    .min(Comparator.comparingLong(LiveEndpoint::startedAtMilliseconds))
                    .ifPresent(oldest -> knownVersions.add(oldest.softwareVersion()));
        }
        current.stream()
                .map(LiveEndpoint::softwareVersion)
                .distinct()
                .filter(knownVersions::add)
                .forEach(version -> heldUntilNanos.put(version, nowNanos + NEW_VERSION_HOLD.toNanos()));
        selectProbed();
    }

    /** Records versions that have served before this process started, which are not held back. */
    public void addEstablished(Set<String> versions) {
        knownVersions.addAll(versions);
        heldUntilNanos.keySet().removeAll(versions);
        selectProbed();
    }

    /** The share concentrates on few target endpoints, so that these are as loaded as all will be. */
    private void selectProbed() {
        ImmutableSet<String> ids = plan.stream()
                .flatMap(present -> endpoints.stream()
                        .filter(endpoint -> !endpoint.leaving())
                        .filter(endpoint -> endpoint.softwareVersion().equals(present.target())))
                .map(LiveEndpoint::id)
                .sorted()
                .collect(ImmutableSet.toImmutableSet());
        double share = plan.map(RolloutPlan::share).orElse(0.0);
        probed = ids.stream()
                .limit(Math.max(1, (long) Math.ceil(share * ids.size())))
                .collect(ImmutableSet.toImmutableSet());
        isDone = isDone || isCompletedEverywhere();
    }

    private boolean isCompletedEverywhere() {
        return plan.filter(present -> present.stage() == RolloutStage.COMPLETED)
                .filter(_present -> endpoints.stream().allMatch(this::isTarget))
                .isPresent();
    }

    /** Whether some endpoints may not be used by some requests now. */
    public boolean isRestricting(long nowNanos) {
        if (!isEnabled) {
            return false;
        }
        if (!heldUntilNanos.isEmpty()) {
            heldUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        }
        return isPlanInForce() || !heldUntilNanos.isEmpty();
    }

    private boolean isPlanInForce() {
        return plan.filter(present -> present.stage() != RolloutStage.WITHDRAWN && !isDone)
                .isPresent();
    }

    /** Whether no request may use the endpoint now. */
    public boolean isClosed(LiveEndpoint endpoint, long nowNanos) {
        if (!isRestricting(nowNanos)) {
            return false;
        }
        if (!isPlanInForce()) {
            return heldUntilNanos.containsKey(endpoint.softwareVersion());
        }
        return isTarget(endpoint) ? shareNow(nowNanos) == 0 || !probed.contains(endpoint.id()) : isTargetOnly(nowNanos);
    }

    /** Whether the endpoint is of the version that most requests use now. */
    public boolean isForMost(LiveEndpoint endpoint, long nowNanos) {
        return !isRestricting(nowNanos) || !isPlanInForce() || isTarget(endpoint) == (shareNow(nowNanos) >= 1);
    }

    private boolean isTarget(LiveEndpoint endpoint) {
        return plan.filter(present -> present.target().equals(endpoint.softwareVersion()))
                .isPresent();
    }

    /** A completed roll-out stays so without its decider; any other one gets nothing while the decider is lost. */
    private double shareNow(long nowNanos) {
        return plan.filter(present -> isHeard(nowNanos) || present.stage() == RolloutStage.COMPLETED)
                .map(RolloutPlan::share)
                .orElse(0.0);
    }

    private boolean isHeard(long nowNanos) {
        return nowNanos - planAtNanos < PLAN_TIMEOUT.toNanos();
    }

    /** Whether new requests may use endpoints of the target only, even if none of them is usable. */
    public boolean isTargetOnly(long nowNanos) {
        return plan.filter(present -> present.stage().isTargetOnly()).isPresent() && shareNow(nowNanos) > 0;
    }

    /** Which endpoints a request of the route may use now. */
    public Choice choose(int route, long nowNanos) {
        if (!isRestricting(nowNanos) || !isPlanInForce()) {
            return Choice.ANY;
        }
        if (isTargetOnly(nowNanos)) {
            return Choice.TARGET;
        }
        double share = shareNow(nowNanos);
        if (share == 0 || !allowsAnotherExposure()) {
            return Choice.OLD;
        }
        if (share >= 1) {
            return Choice.TARGET;
        }
        return credits.getOrDefault(route, 0.0) >= 1 ? Choice.TARGET_OR_OLD : Choice.OLD;
    }

    /** Which endpoints a request that must use the version may use now. */
    public Choice choose(int route, Optional<String> requiredVersion, long nowNanos) {
        if (requiredVersion.isEmpty() || !isRestricting(nowNanos) || !isPlanInForce()) {
            return choose(route, nowNanos);
        }
        boolean isTargetRequired = requiredVersion.equals(target());
        boolean mayUseTarget = isTargetOnly(nowNanos) || (shareNow(nowNanos) > 0 && allowsAnotherExposure());
        return (isTargetRequired && mayUseTarget) || isTargetOnly(nowNanos) ? Choice.TARGET : Choice.OLD;
    }

    private boolean allowsAnotherExposure() {
        return plan.filter(present -> exposure + 1
                        <= BOUND_MARGIN * (present.exposureShare() * requests + (isOwner ? present.slack() : 0)))
                .isPresent();
    }

    /** Whether a request with the choice may use the endpoint; {@code isFirst} tries the preferred version only. */
    public boolean isAllowed(LiveEndpoint endpoint, Choice choice, boolean isFirst) {
        return switch (choice) {
            case ANY -> true;
            case OLD -> !isTarget(endpoint);
            case TARGET_OR_OLD -> isTarget(endpoint) == isFirst;
            case TARGET -> isTarget(endpoint);
        };
    }

    /** Whether a request with the choice may use the endpoint, preferred or not. */
    public boolean isEverAllowed(LiveEndpoint endpoint, Choice choice) {
        return isAllowed(endpoint, choice, true) || isAllowed(endpoint, choice, false);
    }

    /** Counts a request of the service on its first attempt. */
    public void recordRequest(int route) {
        if (isEnabled) {
            requests++;
            plan.ifPresent(present ->
                    credits.merge(route, present.share(), (before, share) -> Math.min(MAXIMUM_CREDIT, before + share)));
        }
    }

    /** Counts a request that was granted the endpoint. */
    public void recordStart(Object key, LiveEndpoint endpoint, int route, double work, long nowNanos) {
        if (!isEnabled) {
            return;
        }
        if (isTarget(endpoint)) {
            exposure++;
            credits.merge(route, -1.0, Double::sum);
        }
        runs.start(key, endpoint, route, work, nowNanos);
    }

    /** Adds a request that runs already; its times are unknown. */
    public void adopt(Object key, LiveEndpoint endpoint, int route) {
        if (isEnabled) {
            runs.adopt(key, endpoint, route);
        }
    }

    public void recordAnswerStart(Object key, long nowNanos) {
        runs.answerStarted(key, target(), nowNanos);
    }

    /** Counts the end of a run, unless it tells nothing about the version. */
    public void recordEnd(Object key, boolean isFailure, boolean isEvidence, long answerTokens, long nowNanos) {
        runs.end(key, target(), isFailure, isEvidence, answerTokens, nowNanos);
    }

    private Optional<String> target() {
        return plan.map(RolloutPlan::target);
    }

    /** The plan in force, if any. */
    public Optional<RolloutPlan> plan() {
        return plan;
    }

    /** What this queue has counted since the order. */
    public RolloutTotals totals() {
        return new RolloutTotals(
                requests, exposure, target().map(runs::countOthers).orElse(0L), meter.target(), meter.old());
    }
}
