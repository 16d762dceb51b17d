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

/** A request that waits or is dispatched, with its attempts. */
final class TrackedRequest {

    private final RequestDescriptor descriptor;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private final Set<EndpointName> tried = new HashSet<>();
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

    boolean tried(EndpointName endpoint) {
        return tried.contains(endpoint);
    }

    /** Whether the request was sent to each of the endpoints before. */
    boolean triedAll(ImmutableList<EndpointTracker> endpoints) {
        return endpoints.stream().allMatch(endpoint -> tried(endpoint.name()));
    }

    void start(Attempt attempt, int number) {
        attempts.add(attempt);
        tried.add(attempt.tracker().name());
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

    /** Records that an attempt may have run, so that no later refusal may say that the request did not run. */
    void mayHaveRun(ErrorKind kind) {
        unknownOutcome = Optional.of(kind);
    }

    /** The kind to refuse this request with: the given one, unless an earlier attempt may have run. */
    ErrorKind honest(ErrorKind kind) {
        return kind.outcome() == Outcome.NOT_RUN ? unknownOutcome.orElse(kind) : kind;
    }
}
