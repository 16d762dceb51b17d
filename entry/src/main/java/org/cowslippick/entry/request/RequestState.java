package org.cowslippick.entry.request;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.error.Failure;

/**
 * Immutable state of a request; each transition returns a new state.
 *
 * @param running granted attempts that have not ended
 * @param winner the attempt whose tokens are sent to the caller
 * @param possibleRunFailure the failure of an attempt that may have run, after which the outcome cannot be "not run"
 */
record RequestState(
        boolean hasEnded,
        ImmutableList<Attempt> running,
        Optional<Attempt> winner,
        Optional<Failure> possibleRunFailure) {

    static final RequestState WAITING = new RequestState(false, ImmutableList.of(), Optional.empty(), Optional.empty());

    /** Whether a grant for the attempt may still be used. */
    boolean canUse(Attempt attempt) {
        return !hasEnded && winner.isEmpty() && running.stream().noneMatch(other -> other.number() == attempt.number());
    }

    /** Adds the attempt if its grant may still be used. */
    RequestState withGrant(Attempt attempt) {
        return canUse(attempt)
                ? new RequestState(
                        false,
                        ImmutableList.<Attempt>builder()
                                .addAll(running)
                                .add(attempt)
                                .build(),
                        winner,
                        possibleRunFailure)
                : this;
    }

    /** Makes the attempt the winner if it is running and there is no winner yet. */
    RequestState withWinner(Attempt attempt) {
        return hasEnded || winner.isPresent() || !running.contains(attempt)
                ? this
                : new RequestState(false, running, Optional.of(attempt), possibleRunFailure);
    }

    /** Removes an attempt that has ended; the failure is present if the attempt may have run. */
    RequestState withoutAttempt(Attempt attempt, Optional<Failure> failureAfterDispatch) {
        return new RequestState(
                hasEnded,
                running.stream().filter(other -> !other.equals(attempt)).collect(ImmutableList.toImmutableList()),
                winner.filter(other -> !other.equals(attempt)),
                possibleRunFailure.isPresent() ? possibleRunFailure : failureAfterDispatch);
    }

    RequestState asEnded() {
        return new RequestState(true, running, winner, possibleRunFailure);
    }

    /** Whether any attempt may have run or may still be running. */
    boolean mayHaveRun() {
        return !running.isEmpty() || possibleRunFailure.isPresent();
    }

    boolean isWonBy(Attempt attempt) {
        return !hasEnded && winner.filter(attempt::equals).isPresent();
    }
}
