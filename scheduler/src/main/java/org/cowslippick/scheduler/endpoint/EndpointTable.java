package org.cowslippick.scheduler.endpoint;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;

/**
 * The endpoints of a pool, with those that have a free slot ordered by the predicted time of a reference request. A
 * request looks at the first few of them only, so that a decision costs the logarithm of their number.
 */
public final class EndpointTable {

    private static final int CANDIDATES = 4;
    private static final Comparator<EndpointTracker> BY_SCORE =
            Comparator.comparingDouble(EndpointTracker::score).thenComparing(EndpointTracker::name);

    private final Map<EndpointName, EndpointTracker> byName = new HashMap<>();
    private final TreeSet<EndpointTracker> available = new TreeSet<>(BY_SCORE);
    private final SpeedModel poolSpeed = new SpeedModel();
    private ImmutableList<EndpointTracker> members = ImmutableList.of();
    private int totalWindow;

    /** Takes the new list of endpoints; what was learnt of those that stay is kept. */
    public void replace(ImmutableList<Endpoint> endpoints) {
        Map<EndpointName, EndpointTracker> before = new HashMap<>(byName);
        byName.clear();
        available.clear();
        totalWindow = 0;
        members = endpoints.stream()
                .map(endpoint -> Optional.ofNullable(before.get(endpoint.name()))
                        .filter(tracker -> tracker.endpoint().equals(endpoint))
                        .orElseGet(() -> new EndpointTracker(endpoint, poolSpeed)))
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
            int promptTokens, int answerTokens, Predicate<EndpointTracker> allowed, Stream<EndpointTracker> preferred) {
        return Stream.concat(
                        available.stream().filter(allowed).limit(CANDIDATES),
                        preferred.filter(available::contains).filter(allowed))
                .min(Comparator.comparingDouble(tracker -> tracker.serviceNanos(promptTokens, answerTokens)
                        * (1 + (double) tracker.inFlight() / tracker.window())));
    }

    /** Changes an endpoint and keeps its place in the order right. */
    public void update(EndpointTracker tracker, Consumer<EndpointTracker> change) {
        boolean member = byName.get(tracker.name()) == tracker;
        if (member) {
            available.remove(tracker);
            totalWindow -= tracker.window();
        }
        change.accept(tracker);
        if (member) {
            insert(tracker);
        }
    }

    /** A request with this many prompt tokens to compute is dispatched to the endpoint. */
    public void start(EndpointTracker tracker, long promptTokens) {
        update(tracker, changed -> changed.start(promptTokens));
    }

    /** A dispatched request has its first token or ended without one. */
    public void promptDone(EndpointTracker tracker, long promptTokens) {
        update(tracker, changed -> changed.firstToken(promptTokens));
    }

    /** A dispatched request left the endpoint. */
    public void end(EndpointTracker tracker) {
        update(tracker, EndpointTracker::end);
    }

    /** Learns from a first token behind so many prompt tokens. */
    public void observeFirstToken(EndpointTracker tracker, long promptTokens, long nanos) {
        poolSpeed.observeFirstToken(promptTokens, nanos);
        update(tracker, changed -> changed.speed().observeFirstToken(promptTokens, nanos));
    }

    /** Learns from the mean time between the tokens of one answer. */
    public void observeBetweenTokens(EndpointTracker tracker, long nanos) {
        poolSpeed.observeBetweenTokens(nanos);
        update(tracker, changed -> changed.speed().observeBetweenTokens(nanos));
    }

    private void insert(EndpointTracker tracker) {
        byName.put(tracker.name(), tracker);
        totalWindow += tracker.window();
        tracker.updateScore();
        if (tracker.available()) {
            available.add(tracker);
        }
    }
}
