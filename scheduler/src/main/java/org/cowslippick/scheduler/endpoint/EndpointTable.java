package org.cowslippick.scheduler.endpoint;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;

/**
 * The endpoints of a pool, with those that have a free slot ordered by the predicted time of a reference request. A
 * request looks at the first few of them only, so that a decision costs the logarithm of their number.
 */
public final class EndpointTable {

    private static final int CANDIDATES = 4;
    private static final double LARGEST_POOL_RATIO = 3;
    private static final double POOL_FACTOR_GAIN = 0.05;
    private static final Comparator<EndpointTracker> BY_SCORE =
            Comparator.comparingDouble(EndpointTracker::score).thenComparing(EndpointTracker::name);
    private static final Comparator<EndpointTracker> BY_PROBE_TIME =
            Comparator.comparingLong(EndpointTracker::probeAtNanos).thenComparing(EndpointTracker::name);

    private final Map<EndpointName, EndpointTracker> byName = new HashMap<>();
    private final TreeSet<EndpointTracker> available = new TreeSet<>(BY_SCORE);
    private final TreeSet<EndpointTracker> probed = new TreeSet<>(BY_PROBE_TIME);
    private final SpeedModel poolSpeed = new SpeedModel();
    private final long betweenTokensNanos;
    private final long promptBacklogNanos;
    private ImmutableList<EndpointTracker> members = ImmutableList.of();
    private double poolFactor = 1;
    private int totalWindow;
    private int suspected;

    /**
     * Creates a table without endpoints.
     *
     * @param betweenTokensNanos the time between tokens that endpoints are kept below
     * @param promptBacklogNanos the prompt work that an endpoint may have ahead when it gets a further request
     */
    public EndpointTable(long betweenTokensNanos, long promptBacklogNanos) {
        this.betweenTokensNanos = betweenTokensNanos;
        this.promptBacklogNanos = promptBacklogNanos;
    }

    /** Takes the new list of endpoints; what was learnt of those that stay is kept. */
    public void replace(ImmutableList<Endpoint> endpoints) {
        Map<EndpointName, EndpointTracker> before = new HashMap<>(byName);
        byName.clear();
        available.clear();
        probed.clear();
        totalWindow = 0;
        suspected = 0;
        members = endpoints.stream()
                .map(endpoint -> Optional.ofNullable(before.get(endpoint.name()))
                        .filter(tracker -> tracker.endpoint().equals(endpoint))
                        .orElseGet(
                                () -> new EndpointTracker(endpoint, poolSpeed, betweenTokensNanos, promptBacklogNanos)))
                .collect(ImmutableList.toImmutableList());
        members.forEach(this::insert);
    }

    public ImmutableList<EndpointTracker> members() {
        return members;
    }

    public Optional<EndpointTracker> find(EndpointName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** How many requests the endpoints may run at once, in total. */
    public int totalWindow() {
        return totalWindow;
    }

    /** What was learnt of all endpoints together. */
    public SpeedModel poolSpeed() {
        return poolSpeed;
    }

    public boolean hasAvailable() {
        return !available.isEmpty();
    }

    /** The endpoint with a free slot that is predicted to answer a request of this size first. */
    public Optional<EndpointTracker> choose(
            ToDoubleFunction<EndpointTracker> promptTokens,
            double answerTokens,
            Predicate<EndpointTracker> allowed,
            Stream<EndpointTracker> preferred) {
        return Stream.concat(
                        available.stream().filter(allowed).limit(CANDIDATES),
                        preferred.filter(available::contains).filter(allowed))
                .min(Comparator.comparingDouble(
                        tracker -> tracker.loadedNanos(promptTokens.applyAsDouble(tracker), answerTokens)));
    }

    /** An endpoint under suspicion that is due to be probed with a request. */
    public Optional<EndpointTracker> chooseProbe(
            boolean idempotent, Predicate<EndpointTracker> allowed, long nowNanos) {
        return probed.stream()
                .limit(1)
                .filter(tracker -> tracker.probeDue(idempotent, nowNanos))
                .filter(allowed)
                .findFirst();
    }

    /** Changes an endpoint and keeps its place in the order right. */
    private void update(EndpointTracker tracker, Consumer<EndpointTracker> change) {
        boolean member = byName.get(tracker.name()) == tracker;
        if (member) {
            available.remove(tracker);
            probed.remove(tracker);
            totalWindow -= tracker.window();
            suspected -= tracker.suspected() ? 1 : 0;
        }
        change.accept(tracker);
        if (member) {
            insert(tracker);
        }
    }

    /** A request with this many prompt tokens to compute is dispatched to the endpoint. */
    public void start(EndpointTracker tracker, long promptTokens, long nowNanos) {
        update(tracker, changed -> changed.start(promptTokens, nowNanos));
    }

    /** A dispatched request ended or its first token arrived; its prompt is no longer ahead of others. */
    public void promptDone(EndpointTracker tracker, long promptTokens) {
        update(tracker, changed -> changed.promptDone(promptTokens));
    }

    /** A dispatched request left the endpoint. */
    public void end(EndpointTracker tracker) {
        update(tracker, EndpointTracker::end);
    }

    /** Learns from a first token, behind so many prompt tokens that had to be computed since the dispatch. */
    public void observeFirstToken(EndpointTracker tracker, long promptTokens, long nanos, long nowNanos) {
        update(tracker, changed -> {
            double ratio = changed.observeFirstToken(promptTokens, nanos, nowNanos);
            judge(changed, ratio, nowNanos);
        });
    }

    /** Learns from the mean time between the tokens of one answer. */
    public void observeBetweenTokens(EndpointTracker tracker, long nanos, long nowNanos) {
        update(tracker, changed -> judge(changed, changed.observeBetweenTokens(nanos, nowNanos), nowNanos));
    }

    /** Learns that a first token is missing after so many times its predicted time. */
    public void observeOverdue(EndpointTracker tracker, double ratio, long nowNanos) {
        update(tracker, changed -> {
            changed.observeOverdue(ratio);
            judge(changed, ratio, nowNanos);
        });
    }

    /** Learns that an attempt gave its whole answer. */
    public void observeSuccess(EndpointTracker tracker, long nowNanos) {
        update(tracker, changed -> {
            changed.observeSuccess();
            judge(changed, 1, nowNanos);
        });
    }

    /** Learns that an attempt failed. */
    public void observeFault(EndpointTracker tracker, long nowNanos) {
        update(tracker, changed -> {
            changed.observeFault();
            judge(changed, 1, nowNanos);
        });
    }

    /** Learns from a load report, which counts until something newer is observed. */
    public void observeLoad(EndpointTracker tracker, int requests, long reportedAtNanos) {
        update(tracker, changed -> changed.observeLoad(requests, reportedAtNanos));
    }

    /** At most a minority of the endpoints is under suspicion at a time. */
    private void judge(EndpointTracker tracker, double ratio, long nowNanos) {
        double bounded = Math.min(LARGEST_POOL_RATIO, ratio);
        poolFactor += POOL_FACTOR_GAIN * (bounded - poolFactor);
        boolean maySuspect = 2 * (suspected + 1) < members.size();
        tracker.judge(poolFactor, maySuspect, nowNanos);
    }

    private void insert(EndpointTracker tracker) {
        byName.put(tracker.name(), tracker);
        totalWindow += tracker.window();
        suspected += tracker.suspected() ? 1 : 0;
        tracker.updateScore();
        if (tracker.available()) {
            available.add(tracker);
        }
        if (tracker.suspected() && tracker.inFlight() == 0) {
            probed.add(tracker);
        }
    }
}
