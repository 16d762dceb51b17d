package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.OrganisationName;

/**
 * A state-space model of three attempts to claim one identity, each at its own entry, over one platform. The entries
 * run the production {@link GroupCommit}; the model delays or fails calls, loses responses, and pauses and crashes
 * entries.
 */
final class ClaimModel {

    private static final int MAXIMUM_FAULTS = 2;
    private static final ClaimIdentity IDENTITY =
            ClaimIdentity.of(new IdempotencyKey(new OrganisationName("portalia"), "visit-1"));
    private static final Instant NOW = Instant.EPOCH;

    private final Variant variant;

    ClaimModel(Variant variant) {
        this.variant = variant;
    }

    /** The correct protocol, and faulty variants that the exploration must detect. */
    enum Variant {
        CORRECT,
        WRITES_IGNORE_VERSION,
        LOST_RESPONSE_COUNTS_AS_WRITTEN,
        RELEASE_IGNORES_HOLDER,
        RELEASE_BEFORE_LAST_DISPATCH
    }

    enum Phase {
        WAITING,
        CLAIMING,
        GRANTED,
        RELEASING,
        ENDED
    }

    enum CallerOutcome {
        PENDING,
        NOT_RUN,
        OUTCOME_UNKNOWN,
        RESULT
    }

    /** The platform's response before the entry receives it; an empty view is a conflict. */
    record Reply(Optional<PartitionView> view) {}

    record Attempt(Phase phase, Optional<CommitStep> step, Optional<Reply> reply, CallerOutcome outcome, boolean ran) {
        static final Attempt WAITING =
                new Attempt(Phase.WAITING, Optional.empty(), Optional.empty(), CallerOutcome.PENDING, false);

        Attempt withStep(CommitStep next) {
            return new Attempt(phase, Optional.of(next), Optional.empty(), outcome, ran);
        }

        Attempt withPhase(Phase next, CallerOutcome nextOutcome) {
            return new Attempt(next, Optional.empty(), Optional.empty(), nextOutcome, ran);
        }

        Attempt withReply(Optional<PartitionView> view) {
            return new Attempt(phase, step, Optional.of(new Reply(view)), outcome, ran);
        }

        Attempt afterRun() {
            return new Attempt(phase, step, reply, outcome, true);
        }
    }

    record DelayedWrite(OptionalLong version, PartitionState state) {}

    record ModelState(
            PartitionView object,
            ImmutableList<Attempt> attempts,
            ImmutableSet<DelayedWrite> delayedWrites,
            int remainingFaults) {
        ModelState with(int index, Attempt attempt) {
            ImmutableList<Attempt> changed = IntStream.range(0, attempts.size())
                    .mapToObj(position -> position == index ? attempt : attempts.get(position))
                    .collect(ImmutableList.toImmutableList());
            return new ModelState(object, changed, delayedWrites, remainingFaults);
        }

        ModelState withObject(PartitionView changed) {
            return new ModelState(changed, attempts, delayedWrites, remainingFaults);
        }

        ModelState withDelayed(DelayedWrite write) {
            return new ModelState(
                    object,
                    attempts,
                    Stream.concat(delayedWrites.stream(), Stream.of(write)).collect(ImmutableSet.toImmutableSet()),
                    remainingFaults);
        }

        ModelState withoutDelayed(DelayedWrite write) {
            return new ModelState(
                    object,
                    attempts,
                    delayedWrites.stream().filter(other -> !other.equals(write)).collect(ImmutableSet.toImmutableSet()),
                    remainingFaults);
        }

        ModelState withFaultUsed() {
            return new ModelState(object, attempts, delayedWrites, remainingFaults - 1);
        }

        boolean violatesAtMostOnce() {
            return attempts.stream().filter(Attempt::ran).count() > 1
                    || attempts.stream()
                            .anyMatch(attempt -> attempt.ran() && attempt.outcome() == CallerOutcome.NOT_RUN);
        }

        boolean ranAfterRelease() {
            return attempts.get(2).ran() && attempts.get(0).outcome() == CallerOutcome.NOT_RUN;
        }
    }

    /** The result of an exploration; the flags show that it reached the cases which the protocol is about. */
    record Exploration(
            int states, Optional<ModelState> violation, boolean sawRunAfterRelease, boolean sawOutcomeUnknown) {}

    /** Visits every reachable state; stops at the first that violates at-most-once execution. */
    Exploration explore() {
        Set<ModelState> seen = new HashSet<>();
        ArrayDeque<ModelState> frontier = new ArrayDeque<>();
        ModelState first = new ModelState(
                PartitionView.ABSENT,
                ImmutableList.of(Attempt.WAITING, Attempt.WAITING, Attempt.WAITING),
                ImmutableSet.of(),
                MAXIMUM_FAULTS);
        frontier.add(first);
        seen.add(first);
        boolean ranAfterRelease = false;
        boolean outcomeUnknown = false;
        while (!frontier.isEmpty()) {
            ModelState state = frontier.removeLast();
            if (state.violatesAtMostOnce()) {
                return new Exploration(seen.size(), Optional.of(state), ranAfterRelease, outcomeUnknown);
            }
            ranAfterRelease |= state.ranAfterRelease();
            outcomeUnknown |=
                    state.attempts().stream().anyMatch(attempt -> attempt.outcome() == CallerOutcome.OUTCOME_UNKNOWN);
            successors(state).filter(seen::add).forEach(frontier::add);
        }
        return new Exploration(seen.size(), Optional.empty(), ranAfterRelease, outcomeUnknown);
    }

    private Stream<ModelState> successors(ModelState state) {
        Stream<ModelState> delayedWrites = state.delayedWrites().stream()
                .map(write ->
                        apply(state, write).map(state::withObject).orElse(state).withoutDelayed(write));
        return Stream.concat(delayedWrites, IntStream.range(0, 3).boxed().flatMap(index -> attemptSteps(state, index)));
    }

    private Stream<ModelState> attemptSteps(ModelState state, int index) {
        Attempt attempt = state.attempts().get(index);
        return switch (attempt.phase()) {
            case WAITING ->
                knownAtStart(state, index)
                        .map(known -> state.with(
                                index, start(state, index, ClaimOperation.Kind.CLAIM, Phase.CLAIMING, known)));
            case CLAIMING, RELEASING -> Stream.concat(commitSteps(state, index), crash(state, index));
            case GRANTED -> Stream.concat(grantedSteps(state, index), crash(state, index));
            case ENDED -> Stream.empty();
        };
    }

    /**
     * The third attempt is the caller's retry after the first attempt was answered or its entry crashed. The entry of
     * the third attempt may hold an outdated view in which the object does not exist.
     */
    private static Stream<Optional<PartitionView>> knownAtStart(ModelState state, int index) {
        if (index < 2) {
            return Stream.of(Optional.empty());
        }
        return state.attempts().get(0).outcome() == CallerOutcome.PENDING
                ? Stream.empty()
                : Stream.of(Optional.empty(), Optional.of(PartitionView.ABSENT));
    }

    private static Attempt start(ModelState state, int index, ClaimOperation.Kind kind, Phase phase) {
        return start(state, index, kind, phase, Optional.empty());
    }

    private static Attempt start(
            ModelState state, int index, ClaimOperation.Kind kind, Phase phase, Optional<PartitionView> known) {
        ClaimOperation operation = new ClaimOperation(kind, IDENTITY, new RequestId("attempt-" + index));
        Attempt before = state.attempts().get(index);
        return before.withPhase(phase, before.outcome())
                .withStep(GroupCommit.start(ImmutableList.of(operation), known, NOW));
    }

    private Stream<ModelState> grantedSteps(ModelState state, int index) {
        Attempt attempt = state.attempts().get(index);
        ModelState answered = state.with(index, attempt.afterRun().withPhase(Phase.ENDED, CallerOutcome.RESULT));
        ModelState refused = state.with(index, attempt.withPhase(Phase.ENDED, CallerOutcome.NOT_RUN));
        ModelState released = refused.with(index, start(refused, index, ClaimOperation.Kind.RELEASE, Phase.RELEASING));
        if (variant == Variant.RELEASE_BEFORE_LAST_DISPATCH) {
            Attempt releasing = start(state, index, ClaimOperation.Kind.RELEASE, Phase.RELEASING);
            return Stream.of(answered, refused, released, state.with(index, releasing));
        }
        return Stream.of(answered, refused, released);
    }

    private Stream<ModelState> crash(ModelState state, int index) {
        Attempt attempt = state.attempts().get(index);
        CallerOutcome outcome =
                attempt.outcome() == CallerOutcome.PENDING ? CallerOutcome.OUTCOME_UNKNOWN : attempt.outcome();
        Stream<ModelState> delayedWrite =
                attempt.step().isPresent() && attempt.reply().isEmpty()
                        ? pendingWrite(attempt).map(state::withDelayed)
                        : Stream.empty();
        return Stream.concat(Stream.of(state), delayedWrite)
                .filter(reached -> reached.remainingFaults() > 0)
                .map(reached -> reached.withFaultUsed().with(index, attempt.withPhase(Phase.ENDED, outcome)));
    }

    private static Stream<DelayedWrite> pendingWrite(Attempt attempt) {
        return attempt.step().orElseThrow() instanceof CommitStep.Write write
                ? Stream.of(new DelayedWrite(write.version(), write.state()))
                : Stream.empty();
    }

    private Stream<ModelState> commitSteps(ModelState state, int index) {
        Attempt attempt = state.attempts().get(index);
        CommitStep step = attempt.step().orElseThrow();
        if (step instanceof CommitStep.Completed completed) {
            return completedSteps(state, index, completed);
        }
        if (step instanceof CommitStep.Read read) {
            return readSteps(state, index, read.commit());
        }
        return writeSteps(state, index, (CommitStep.Write) step);
    }

    private Stream<ModelState> completedSteps(ModelState state, int index, CommitStep.Completed completed) {
        Attempt attempt = state.attempts().get(index);
        if (attempt.phase() == Phase.RELEASING && attempt.outcome() == CallerOutcome.PENDING) {
            return Stream.of(state.with(index, attempt.afterRun().withPhase(Phase.ENDED, CallerOutcome.RESULT)));
        }
        if (attempt.phase() == Phase.RELEASING) {
            return Stream.of(state.with(index, attempt.withPhase(Phase.ENDED, attempt.outcome())));
        }
        ModelState refused = state.with(index, attempt.withPhase(Phase.ENDED, CallerOutcome.NOT_RUN));
        return switch (completed.results().get(0).kind()) {
            case GRANTED -> Stream.of(state.with(index, attempt.withPhase(Phase.GRANTED, CallerOutcome.PENDING)));
            case HELD_BY_OTHER ->
                Stream.of(state.with(index, attempt.withPhase(Phase.ENDED, CallerOutcome.OUTCOME_UNKNOWN)));
            case RELEASED, NOT_COMMITTED -> Stream.of(refused);
            case IN_DOUBT ->
                Stream.of(refused.with(index, start(refused, index, ClaimOperation.Kind.RELEASE, Phase.RELEASING)));
        };
    }

    private Stream<ModelState> readSteps(ModelState state, int index, GroupCommit commit) {
        Attempt attempt = state.attempts().get(index);
        if (attempt.reply().isPresent()) {
            PartitionView view = attempt.reply().get().view().orElseThrow();
            return Stream.of(
                    state.with(index, attempt.withStep(withVariant(commit, view).onRead(view))));
        }
        Stream<ModelState> read = Stream.of(state.with(index, attempt.withReply(Optional.of(state.object()))));
        return Stream.concat(
                read, withFault(state, afterFault -> afterFault.with(index, attempt.withStep(commit.onFailure()))));
    }

    private GroupCommit withVariant(GroupCommit commit, PartitionView view) {
        ClaimOperation operation = commit.operations().get(0);
        Optional<StoredClaim> present =
                Optional.ofNullable(view.state().claims().get(IDENTITY));
        if (variant != Variant.RELEASE_IGNORES_HOLDER
                || operation.kind() != ClaimOperation.Kind.RELEASE
                || present.isEmpty()) {
            return commit;
        }
        ClaimOperation anyHolder =
                new ClaimOperation(operation.kind(), IDENTITY, present.get().holder());
        return new GroupCommit(
                ImmutableList.of(anyHolder),
                commit.view(),
                commit.isFresh(),
                commit.failedWrites(),
                commit.anyResponseLost(),
                NOW);
    }

    private Stream<ModelState> writeSteps(ModelState state, int index, CommitStep.Write write) {
        Attempt attempt = state.attempts().get(index);
        GroupCommit commit = write.commit();
        CommitStep whenLost = variant == Variant.LOST_RESPONSE_COUNTS_AS_WRITTEN
                ? commit.onWritten(state.object().version().orElse(0) + 1)
                : commit.onResponseLost();
        if (attempt.reply().isPresent()) {
            CommitStep answered = attempt.reply()
                    .get()
                    .view()
                    .map(view -> commit.onWritten(view.version().orElseThrow()))
                    .orElseGet(commit::onConflict);
            return Stream.concat(
                    Stream.of(state.with(index, attempt.withStep(answered))),
                    withFault(state, afterFault -> afterFault.with(index, attempt.withStep(whenLost))));
        }
        DelayedWrite sent = new DelayedWrite(write.version(), write.state());
        Optional<PartitionView> written = apply(state, sent);
        Stream<ModelState> carriedOut =
                Stream.of(written.map(state::withObject).orElse(state).with(index, attempt.withReply(written)));
        return Stream.of(
                        carriedOut,
                        withFault(
                                state,
                                afterFault -> afterFault.withDelayed(sent).with(index, attempt.withStep(whenLost))),
                        withFault(state, afterFault -> afterFault.with(index, attempt.withStep(commit.onFailure()))))
                .flatMap(steps -> steps);
    }

    private Optional<PartitionView> apply(ModelState state, DelayedWrite write) {
        if (variant != Variant.WRITES_IGNORE_VERSION
                && !write.version().equals(state.object().version())) {
            return Optional.empty();
        }
        long next = state.object().version().orElse(0) + 1;
        return Optional.of(new PartitionView(OptionalLong.of(next), write.state()));
    }

    private static Stream<ModelState> withFault(ModelState state, UnaryOperator<ModelState> change) {
        return state.remainingFaults() > 0 ? Stream.of(change.apply(state.withFaultUsed())) : Stream.empty();
    }
}
