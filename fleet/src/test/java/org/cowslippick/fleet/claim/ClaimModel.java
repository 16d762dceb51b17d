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
 * A model of three attempts at one identity, each at an entry of its own, over one platform. The entries run the real
 * {@link GroupCommit}; the model lets every call be late, refused or unanswered and every entry pause or crash.
 */
final class ClaimModel {

    private static final int FAULTS = 2;
    private static final ClaimIdentity IDENTITY =
            ClaimIdentity.of(new IdempotencyKey(new OrganisationName("portalia"), "visit-1"));
    private static final Instant NOW = Instant.EPOCH;

    private final Variant variant;

    ClaimModel(Variant variant) {
        this.variant = variant;
    }

    /** The protocol, and protocols that are broken on purpose. */
    enum Variant {
        CORRECT,
        WRITES_IGNORE_VERSION,
        LOST_ANSWER_COUNTS_AS_WRITTEN,
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

    enum Told {
        NOTHING,
        NOT_RUN,
        OUTCOME_UNKNOWN,
        RESULT
    }

    /** What the platform answered, on its way to the entry; an empty view is a conflict. */
    record Reply(Optional<PartitionView> view) {}

    record Attempt(Phase phase, Optional<CommitStep> step, Optional<Reply> reply, Told told, boolean ran) {
        static final Attempt WAITING =
                new Attempt(Phase.WAITING, Optional.empty(), Optional.empty(), Told.NOTHING, false);

        Attempt at(CommitStep next) {
            return new Attempt(phase, Optional.of(next), Optional.empty(), told, ran);
        }

        Attempt in(Phase next, Told heard) {
            return new Attempt(next, Optional.empty(), Optional.empty(), heard, ran);
        }

        Attempt replied(Optional<PartitionView> view) {
            return new Attempt(phase, step, Optional.of(new Reply(view)), told, ran);
        }

        Attempt afterRun() {
            return new Attempt(phase, step, reply, told, true);
        }
    }

    record LateWrite(OptionalLong version, PartitionState state) {}

    record World(PartitionView object, ImmutableList<Attempt> attempts, ImmutableSet<LateWrite> late, int faultsLeft) {
        World with(int index, Attempt attempt) {
            ImmutableList<Attempt> changed = IntStream.range(0, attempts.size())
                    .mapToObj(position -> position == index ? attempt : attempts.get(position))
                    .collect(ImmutableList.toImmutableList());
            return new World(object, changed, late, faultsLeft);
        }

        World holding(PartitionView changed) {
            return new World(changed, attempts, late, faultsLeft);
        }

        World withLate(LateWrite write) {
            return new World(
                    object,
                    attempts,
                    Stream.concat(late.stream(), Stream.of(write)).collect(ImmutableSet.toImmutableSet()),
                    faultsLeft);
        }

        World withoutLate(LateWrite write) {
            return new World(
                    object,
                    attempts,
                    late.stream().filter(other -> !other.equals(write)).collect(ImmutableSet.toImmutableSet()),
                    faultsLeft);
        }

        World fault() {
            return new World(object, attempts, late, faultsLeft - 1);
        }

        boolean broken() {
            return attempts.stream().filter(Attempt::ran).count() > 1
                    || attempts.stream().anyMatch(attempt -> attempt.ran() && attempt.told() == Told.NOT_RUN);
        }

        boolean ranAfterRelease() {
            return attempts.get(2).ran() && attempts.get(0).told() == Told.NOT_RUN;
        }
    }

    /** What an exploration saw. */
    record Exploration(int states, Optional<World> broken, boolean sawRunAfterRelease, boolean sawResultUnknown) {}

    /** Visits every state that can be reached; stops early at a broken one. */
    Exploration explore() {
        Set<World> seen = new HashSet<>();
        ArrayDeque<World> frontier = new ArrayDeque<>();
        World first = new World(
                PartitionView.ABSENT,
                ImmutableList.of(Attempt.WAITING, Attempt.WAITING, Attempt.WAITING),
                ImmutableSet.of(),
                FAULTS);
        frontier.add(first);
        seen.add(first);
        boolean ranAfterRelease = false;
        boolean unknown = false;
        while (!frontier.isEmpty()) {
            World world = frontier.removeLast();
            if (world.broken()) {
                return new Exploration(seen.size(), Optional.of(world), ranAfterRelease, unknown);
            }
            ranAfterRelease |= world.ranAfterRelease();
            unknown |= world.attempts().stream().anyMatch(attempt -> attempt.told() == Told.OUTCOME_UNKNOWN);
            successors(world).filter(seen::add).forEach(frontier::add);
        }
        return new Exploration(seen.size(), Optional.empty(), ranAfterRelease, unknown);
    }

    private Stream<World> successors(World world) {
        Stream<World> late = world.late().stream()
                .map(write ->
                        carryOut(world, write).map(world::holding).orElse(world).withoutLate(write));
        return Stream.concat(late, IntStream.range(0, 3).boxed().flatMap(index -> attemptSteps(world, index)));
    }

    private Stream<World> attemptSteps(World world, int index) {
        Attempt attempt = world.attempts().get(index);
        return switch (attempt.phase()) {
            case WAITING ->
                knownAtStart(world, index)
                        .map(known -> world.with(
                                index, start(world, index, ClaimOperation.Kind.CLAIM, Phase.CLAIMING, known)));
            case CLAIMING, RELEASING -> Stream.concat(commitSteps(world, index), crash(world, index));
            case GRANTED -> Stream.concat(grantedSteps(world, index), crash(world, index));
            case ENDED -> Stream.empty();
        };
    }

    /**
     * The third attempt is the caller's resend after the first was answered or lost its entry; its entry may believe
     * that there is no object yet.
     */
    private static Stream<Optional<PartitionView>> knownAtStart(World world, int index) {
        if (index < 2) {
            return Stream.of(Optional.empty());
        }
        return world.attempts().get(0).told() == Told.NOTHING
                ? Stream.empty()
                : Stream.of(Optional.empty(), Optional.of(PartitionView.ABSENT));
    }

    private static Attempt start(World world, int index, ClaimOperation.Kind kind, Phase phase) {
        return start(world, index, kind, phase, Optional.empty());
    }

    private static Attempt start(
            World world, int index, ClaimOperation.Kind kind, Phase phase, Optional<PartitionView> known) {
        ClaimOperation operation = new ClaimOperation(kind, IDENTITY, new RequestId("attempt-" + index));
        Attempt before = world.attempts().get(index);
        return before.in(phase, before.told()).at(GroupCommit.start(ImmutableList.of(operation), known, NOW));
    }

    private Stream<World> grantedSteps(World world, int index) {
        Attempt attempt = world.attempts().get(index);
        World answered = world.with(index, attempt.afterRun().in(Phase.ENDED, Told.RESULT));
        World refused = world.with(index, attempt.in(Phase.ENDED, Told.NOT_RUN));
        World released = refused.with(index, start(refused, index, ClaimOperation.Kind.RELEASE, Phase.RELEASING));
        if (variant == Variant.RELEASE_BEFORE_LAST_DISPATCH) {
            Attempt releasing = start(world, index, ClaimOperation.Kind.RELEASE, Phase.RELEASING);
            return Stream.of(answered, refused, released, world.with(index, releasing));
        }
        return Stream.of(answered, refused, released);
    }

    private Stream<World> crash(World world, int index) {
        Attempt attempt = world.attempts().get(index);
        Told told = attempt.told() == Told.NOTHING ? Told.OUTCOME_UNKNOWN : attempt.told();
        Stream<World> lateWrite = attempt.step().isPresent() && attempt.reply().isEmpty()
                ? pendingWrite(attempt).map(world::withLate)
                : Stream.empty();
        return Stream.concat(Stream.of(world), lateWrite)
                .filter(reached -> reached.faultsLeft() > 0)
                .map(reached -> reached.fault().with(index, attempt.in(Phase.ENDED, told)));
    }

    private static Stream<LateWrite> pendingWrite(Attempt attempt) {
        return attempt.step().orElseThrow() instanceof CommitStep.Write write
                ? Stream.of(new LateWrite(write.version(), write.state()))
                : Stream.empty();
    }

    private Stream<World> commitSteps(World world, int index) {
        Attempt attempt = world.attempts().get(index);
        CommitStep step = attempt.step().orElseThrow();
        if (step instanceof CommitStep.Completed settled) {
            return settledSteps(world, index, settled);
        }
        if (step instanceof CommitStep.Read read) {
            return readSteps(world, index, read.commit());
        }
        return writeSteps(world, index, (CommitStep.Write) step);
    }

    private Stream<World> settledSteps(World world, int index, CommitStep.Completed settled) {
        Attempt attempt = world.attempts().get(index);
        if (attempt.phase() == Phase.RELEASING && attempt.told() == Told.NOTHING) {
            return Stream.of(world.with(index, attempt.afterRun().in(Phase.ENDED, Told.RESULT)));
        }
        if (attempt.phase() == Phase.RELEASING) {
            return Stream.of(world.with(index, attempt.in(Phase.ENDED, attempt.told())));
        }
        World refused = world.with(index, attempt.in(Phase.ENDED, Told.NOT_RUN));
        return switch (settled.verdicts().get(0).kind()) {
            case GRANTED -> Stream.of(world.with(index, attempt.in(Phase.GRANTED, Told.NOTHING)));
            case HELD_BY_OTHER -> Stream.of(world.with(index, attempt.in(Phase.ENDED, Told.OUTCOME_UNKNOWN)));
            case RELEASED, NOT_COMMITTED -> Stream.of(refused);
            case IN_DOUBT ->
                Stream.of(refused.with(index, start(refused, index, ClaimOperation.Kind.RELEASE, Phase.RELEASING)));
        };
    }

    private Stream<World> readSteps(World world, int index, GroupCommit commit) {
        Attempt attempt = world.attempts().get(index);
        if (attempt.reply().isPresent()) {
            PartitionView view = attempt.reply().get().view().orElseThrow();
            return Stream.of(world.with(index, attempt.at(adapt(commit, view).read(view))));
        }
        Stream<World> read = Stream.of(world.with(index, attempt.replied(Optional.of(world.object()))));
        return Stream.concat(read, withFault(world, faulty -> faulty.with(index, attempt.at(commit.failed()))));
    }

    private GroupCommit adapt(GroupCommit commit, PartitionView view) {
        ClaimOperation operation = commit.operations().get(0);
        Optional<StoredClaim> standing =
                Optional.ofNullable(view.state().claims().get(IDENTITY));
        if (variant != Variant.RELEASE_IGNORES_HOLDER
                || operation.kind() != ClaimOperation.Kind.RELEASE
                || standing.isEmpty()) {
            return commit;
        }
        ClaimOperation anyHolder =
                new ClaimOperation(operation.kind(), IDENTITY, standing.get().holder());
        return new GroupCommit(
                ImmutableList.of(anyHolder), commit.view(), commit.fresh(), commit.round(), commit.lost(), NOW);
    }

    private Stream<World> writeSteps(World world, int index, CommitStep.Write write) {
        Attempt attempt = world.attempts().get(index);
        GroupCommit commit = write.commit();
        CommitStep whenLost = variant == Variant.LOST_ANSWER_COUNTS_AS_WRITTEN
                ? commit.written(world.object().version().orElse(0) + 1)
                : commit.answerLost();
        if (attempt.reply().isPresent()) {
            CommitStep answered = attempt.reply()
                    .get()
                    .view()
                    .map(view -> commit.written(view.version().orElseThrow()))
                    .orElseGet(commit::conflicted);
            return Stream.concat(
                    Stream.of(world.with(index, attempt.at(answered))),
                    withFault(world, faulty -> faulty.with(index, attempt.at(whenLost))));
        }
        LateWrite sent = new LateWrite(write.version(), write.state());
        Optional<PartitionView> written = carryOut(world, sent);
        Stream<World> carriedOut =
                Stream.of(written.map(world::holding).orElse(world).with(index, attempt.replied(written)));
        return Stream.of(
                        carriedOut,
                        withFault(world, faulty -> faulty.withLate(sent).with(index, attempt.at(whenLost))),
                        withFault(world, faulty -> faulty.with(index, attempt.at(commit.failed()))))
                .flatMap(steps -> steps);
    }

    private Optional<PartitionView> carryOut(World world, LateWrite write) {
        if (variant != Variant.WRITES_IGNORE_VERSION
                && !write.version().equals(world.object().version())) {
            return Optional.empty();
        }
        long next = world.object().version().orElse(0) + 1;
        return Optional.of(new PartitionView(OptionalLong.of(next), write.state()));
    }

    private static Stream<World> withFault(World world, UnaryOperator<World> change) {
        return world.faultsLeft() > 0 ? Stream.of(change.apply(world.fault())) : Stream.empty();
    }
}
