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
 * The endpoints of a pool. Endpoints with a free slot are ordered by the predicted time of a reference request, and a
 * request considers only the first few of them, so that a decision takes logarithmic time in the number of endpoints.
 */
public final class EndpointTable {

    private static final int CANDIDATES = 4;
    private static final double MAXIMUM_POOL_RATIO = 3;
    private static final double POOL_SLOWDOWN_GAIN = 0.05;
    private static final Comparator<EndpointTracker> BY_SCORE =
            Comparator.comparingDouble(EndpointTracker::score).thenComparing(EndpointTracker::name);
    private static final Comparator<EndpointTracker> BY_PROBE_TIME =
            Comparator.comparingLong(EndpointTracker::probeAtNanos).thenComparing(EndpointTracker::name);

    private final Map<EndpointName, EndpointTracker> byName = new HashMap<>();
    private final TreeSet<EndpointTracker> available = new TreeSet<>(BY_SCORE);
    private final TreeSet<EndpointTracker> probeCandidates = new TreeSet<>(BY_PROBE_TIME);
    private final LatencyModel poolLatency = new LatencyModel();
    private final long betweenTokensTargetNanos;
    private final long maximumPromptBacklogNanos;
    private ImmutableList<EndpointTracker> members = ImmutableList.of();
    private double poolSlowdown = 1;
    private int totalWindow;
    private int suspected;

    /**
     * Creates a table without endpoints.
     *
     * @param betweenTokensTargetNanos the time between tokens below which endpoints are kept
     * @param maximumPromptBacklogNanos the prompt backlog below which an endpoint gets another request
     */
    public EndpointTable(long betweenTokensTargetNanos, long maximumPromptBacklogNanos) {
        this.betweenTokensTargetNanos = betweenTokensTargetNanos;
        this.maximumPromptBacklogNanos = maximumPromptBacklogNanos;
    }

    /** Replaces the endpoints; unchanged endpoints keep their state. */
    public void replace(ImmutableList<Endpoint> endpoints) {
        Map<EndpointName, EndpointTracker> previous = new HashMap<>(byName);
        byName.clear();
        available.clear();
        probeCandidates.clear();
        totalWindow = 0;
        suspected = 0;
        members = endpoints.stream()
                .map(endpoint -> Optional.ofNullable(previous.get(endpoint.name()))
                        .filter(tracker -> tracker.endpoint().equals(endpoint))
                        .orElseGet(() -> new EndpointTracker(
                                endpoint, poolLatency, betweenTokensTargetNanos, maximumPromptBacklogNanos)))
                .collect(ImmutableList.toImmutableList());
        members.forEach(this::insert);
    }

    public ImmutableList<EndpointTracker> members() {
        return members;
    }

    public Optional<EndpointTracker> find(EndpointName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** The sum of the admission windows of all endpoints. */
    public int totalWindow() {
        return totalWindow;
    }

    /** The latency model over the samples of all endpoints that are not suspected. */
    public LatencyModel poolLatency() {
        return poolLatency;
    }

    public boolean hasAvailable() {
        return !available.isEmpty();
    }

    /** Returns the endpoint with a free slot that is predicted to answer a request of this size first. */
    public Optional<EndpointTracker> choose(
            ToDoubleFunction<EndpointTracker> promptTokens,
            double answerTokens,
            Predicate<EndpointTracker> allowed,
            Stream<EndpointTracker> preferred) {
        return Stream.concat(
                        available.stream().filter(allowed).limit(CANDIDATES),
                        preferred.filter(available::contains).filter(allowed))
                .min(Comparator.comparingDouble(
                        tracker -> tracker.loadWeightedNanos(promptTokens.applyAsDouble(tracker), answerTokens)));
    }

    /** Returns a suspected endpoint that is due for a probe with a request. */
    public Optional<EndpointTracker> chooseProbe(
            boolean idempotent, Predicate<EndpointTracker> allowed, long nowNanos) {
        return probeCandidates.stream()
                .limit(1)
                .filter(tracker -> tracker.isProbeDue(idempotent, nowNanos))
                .filter(allowed)
                .findFirst();
    }

    /** Updates an endpoint and its position in the ordered sets. */
    private void update(EndpointTracker tracker, Consumer<EndpointTracker> action) {
        boolean isMember = byName.get(tracker.name()) == tracker;
        if (isMember) {
            available.remove(tracker);
            probeCandidates.remove(tracker);
            totalWindow -= tracker.window();
            suspected -= tracker.isSuspected() ? 1 : 0;
        }
        action.accept(tracker);
        if (isMember) {
            insert(tracker);
        }
    }

    /** Records the dispatch of a request with the given number of prompt tokens to process. */
    public void start(EndpointTracker tracker, long promptTokens, long nowNanos) {
        update(tracker, updated -> updated.start(promptTokens, nowNanos));
    }

    /** Removes a prompt from the backlog, when its first token arrived or the request ended. */
    public void completePrompt(EndpointTracker tracker, long promptTokens) {
        update(tracker, updated -> updated.completePrompt(promptTokens));
    }

    /** Records the end of a dispatched request. */
    public void end(EndpointTracker tracker) {
        update(tracker, EndpointTracker::end);
    }

    /** Records a time to first token that included processing the given number of prompt tokens. */
    public void observeFirstToken(EndpointTracker tracker, long promptTokens, long nanos, long nowNanos) {
        update(tracker, updated -> {
            double ratio = updated.observeFirstToken(promptTokens, nanos, nowNanos);
            updateHealth(updated, ratio, nowNanos);
        });
    }

    /** Records the mean time between the tokens of one answer. */
    public void observeBetweenTokens(EndpointTracker tracker, long nanos, long nowNanos) {
        update(tracker, updated -> updateHealth(updated, updated.observeBetweenTokens(nanos, nowNanos), nowNanos));
    }

    /** Records that a first token is missing after {@code ratio} times its predicted time. */
    public void observeOverdue(EndpointTracker tracker, double ratio, long nowNanos) {
        update(tracker, updated -> {
            updated.observeOverdue(ratio);
            updateHealth(updated, ratio, nowNanos);
        });
    }

    /** Records that an attempt produced its complete answer. */
    public void observeSuccess(EndpointTracker tracker, long nowNanos) {
        update(tracker, updated -> {
            updated.observeSuccess();
            updateHealth(updated, 1, nowNanos);
        });
    }

    /** Records that an attempt failed. */
    public void observeFault(EndpointTracker tracker, long nowNanos) {
        update(tracker, updated -> {
            updated.observeFault();
            updateHealth(updated, 1, nowNanos);
        });
    }

    /** Records a load report, which applies until a later first token is observed. */
    public void observeLoad(EndpointTracker tracker, int requests, long reportedAtNanos) {
        update(tracker, updated -> updated.observeLoad(requests, reportedAtNanos));
    }

    /** Updates the health of an endpoint; at most a minority of the endpoints is suspected at a time. */
    private void updateHealth(EndpointTracker tracker, double ratio, long nowNanos) {
        double bounded = Math.min(MAXIMUM_POOL_RATIO, ratio);
        poolSlowdown += POOL_SLOWDOWN_GAIN * (bounded - poolSlowdown);
        boolean maySuspect = 2 * (suspected + 1) < members.size();
        tracker.updateHealth(poolSlowdown, maySuspect, nowNanos);
    }

    private void insert(EndpointTracker tracker) {
        byName.put(tracker.name(), tracker);
        totalWindow += tracker.window();
        suspected += tracker.isSuspected() ? 1 : 0;
        tracker.updateScore();
        if (tracker.isAvailable()) {
            available.add(tracker);
        }
        if (tracker.isSuspected() && tracker.inFlight() == 0) {
            probeCandidates.add(tracker);
        }
    }
}
