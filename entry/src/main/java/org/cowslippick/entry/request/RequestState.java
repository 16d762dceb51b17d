package org.cowslippick.entry.request;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.error.Failure;

/**
 * Where a request stands; each change makes a new state.
 *
 * @param running the attempts that were granted and have not ended
 * @param winner the attempt whose tokens go to the caller
 * @param started the failure of an attempt that may have run, which forbids the answer "not run"
 */
record RequestState(
        boolean ended, ImmutableList<Attempt> running, Optional<Attempt> winner, Optional<Failure> started) {

    static final RequestState WAITING = new RequestState(false, ImmutableList.of(), Optional.empty(), Optional.empty());

    /** Whether a grant may still be used. */
    boolean usable(Attempt attempt) {
        return !ended && winner.isEmpty() && running.stream().noneMatch(other -> other.number() == attempt.number());
    }

    /** Adds an attempt if it may still be used. */
    RequestState granted(Attempt attempt) {
        return usable(attempt)
                ? new RequestState(
                        false,
                        ImmutableList.<Attempt>builder()
                                .addAll(running)
                                .add(attempt)
                                .build(),
                        winner,
                        started)
                : this;
    }

    /** Makes the attempt the winner if there is none yet. */
    RequestState progressed(Attempt attempt) {
        return ended || winner.isPresent() || !running.contains(attempt)
                ? this
                : new RequestState(false, running, Optional.of(attempt), started);
    }

    /** Takes an attempt out that ended without the answer. */
    RequestState attemptEnded(Attempt attempt, Optional<Failure> mayHaveRun) {
        return new RequestState(
                ended,
                running.stream().filter(other -> !other.equals(attempt)).collect(ImmutableList.toImmutableList()),
                winner.filter(other -> !other.equals(attempt)),
                started.isPresent() ? started : mayHaveRun);
    }

    /** Ends the request. */
    RequestState end() {
        return new RequestState(true, running, winner, started);
    }

    /** Whether some attempt was sent and may have run, or may still run. */
    boolean mayHaveRun() {
        return !running.isEmpty() || started.isPresent();
    }

    boolean wonBy(Attempt attempt) {
        return !ended && winner.filter(attempt::equals).isPresent();
    }
}
