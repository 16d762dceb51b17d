package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.scheduler.endpoint.EndpointTracker;

/** A queued or dispatched request with its attempts. */
final class TrackedRequest {

    private final RequestDescriptor descriptor;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private final Set<EndpointName> triedEndpoints = new HashSet<>();
    private int attemptsStarted;
    private Optional<ErrorKind> unknownOutcome = Optional.empty();

    TrackedRequest(RequestDescriptor descriptor) {
        this.descriptor = descriptor;
    }

    RequestDescriptor descriptor() {
        return descriptor;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    int attemptsStarted() {
        return attemptsStarted;
    }

    boolean wasTriedOn(EndpointName endpoint) {
        return triedEndpoints.contains(endpoint);
    }

    /** Whether the request was already sent to each of the endpoints. */
    boolean wasTriedOnAll(ImmutableList<EndpointTracker> endpoints) {
        return endpoints.stream().allMatch(endpoint -> wasTriedOn(endpoint.name()));
    }

    void start(Attempt attempt, int number) {
        attempts.add(attempt);
        triedEndpoints.add(attempt.tracker().name());
        attemptsStarted = Math.max(attemptsStarted, number);
    }

    Optional<Attempt> attemptOn(EndpointName endpoint) {
        return attempts.stream()
                .filter(attempt -> attempt.tracker().name().equals(endpoint))
                .findFirst();
    }

    void end(Attempt attempt) {
        attempts.remove(attempt);
    }

    /** Records that an attempt may have run, so that a later refusal must not claim that the request did not run. */
    void recordPossibleRun(ErrorKind kind) {
        unknownOutcome = Optional.of(kind);
    }

    /** Returns the error kind for refusing this request: the given one, unless an earlier attempt may have run. */
    ErrorKind effectiveKind(ErrorKind kind) {
        return kind.outcome() == Outcome.NOT_RUN ? unknownOutcome.orElse(kind) : kind;
    }
}
