package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Loads at which organisations and returning callers lost most; 4 engines serve about 100 requests a second. */
class SharingReplayTest {

    private static final String FLOODING = "flooding";
    private static final int PROMPT_TOKENS = 1_000;
    private static final Predicate<SlotReplay.Call> IS_FLOODING = call -> call.promptTokens == PROMPT_TOKENS + 1;

    private final SlotReplay replay = new SlotReplay(4, 5);

    /** Without shares the others lose as large a part as the one that causes the overload. */
    @Test
    void organisationsWithinTheirShareDoNotSufferFromOneThatSendsSevenTimesItsUsualLoad() {
        flood(replay, true);
        SlotReplay anonymous = new SlotReplay(4, 5);
        flood(anonymous, false);
        assertTrue(replay.onTimeShare(IS_FLOODING.negate()) > 0.95);
        assertTrue(anonymous.onTimeShare(IS_FLOODING.negate()) < 0.5);
        assertTrue(replay.answeredShare(IS_FLOODING) > 0.85);
    }

    private static void flood(SlotReplay replay, boolean named) {
        IntStream.range(0, 15)
                .forEach(index ->
                        replay.load(named ? "organisation-" + index : "", 0, PROMPT_TOKENS, 4, 10 * index, 9_000));
        String flooding = named ? FLOODING : "";
        replay.load(flooding, 0, PROMPT_TOKENS + 1, 20, 0, 1_500);
        replay.load(flooding, 0, PROMPT_TOKENS + 1, 140, 1_500, 7_500);
        replay.load(flooding, 0, PROMPT_TOKENS + 1, 20, 7_500, 9_000);
        replay.run(25_000);
    }

    /** At twice the capacity, large requests must not wait for all small ones. */
    @Test
    void largeRequestsAreNotStarvedBySmallOnes() {
        IntStream.range(0, 16).forEach(index -> {
            replay.load("organisation-" + index, 0, 688, 10, 10 * index, 6_000);
            replay.load("organisation-" + index, 0, 6_670, 2.5, 10 * index, 6_000);
        });
        replay.run(20_000);
        double large = replay.answeredShare(call -> call.promptTokens > 688);
        double small = replay.answeredShare(call -> call.promptTokens == 688);
        assertTrue(large > 0.9 * small, () -> large + " of the large and " + small + " of the small ones answered");
    }

    /** Callers that came back and were refused again were the largest loss of the worst days. */
    @Test
    void callersThatReturnAfterABurstAreServed() {
        IntStream.range(0, 16).forEach(index -> {
            replay.load("organisation-" + index, 0, PROMPT_TOKENS, 4, 10 * index, 9_000);
            replay.load("organisation-" + index, 0, PROMPT_TOKENS, 16, 10 * index, 2_000);
        });
        replay.run(25_000);
        long refused = replay.count(call -> call.refusals > 0);
        long twice = replay.count(call -> call.refusals > 1);
        assertTrue(twice <= refused / 20, () -> twice + " of " + refused + " refused twice");
    }

    /** Callers that returned faster than the share of their organisation allows were refused again. */
    @Test
    void callersOfAnOrganisationOverItsShareReturnAtTheRateOfItsShare() {
        IntStream.range(0, 16)
                .forEach(index -> replay.load("organisation-" + index, 0, PROMPT_TOKENS, 5, 10 * index, 9_000));
        replay.load("organisation-1", 0, PROMPT_TOKENS, 60, 1_500, 7_500);
        replay.load("organisation-2", 0, 6_000, 15, 1_500, 7_500);
        replay.run(25_000);
        long twice = replay.count(call -> call.refusals > 1);
        assertTrue(twice <= 10, () -> twice + " refused twice");
    }

    /** A higher rank must not lose by the flood of a lower one. */
    @Test
    void higherRankIsServedBesideAFloodOfALowerOne() {
        IntStream.range(0, 8).forEach(index -> {
            replay.load("organisation-" + index, 0, PROMPT_TOKENS, 6, 10 * index, 6_000);
            replay.load("low-" + index, 1, PROMPT_TOKENS, 19, 10 * index, 6_000);
        });
        replay.run(20_000);
        assertTrue(replay.onTimeShare(call -> call.rank == 0) > 0.98);
    }

    /** A new owner knows no promises and no shares, and must still serve what capacity allows. */
    @Test
    void newOwnerSharesFromAnEmptyState() {
        replay.changeOwner(4_000);
        flood(replay, true);
        assertTrue(replay.onTimeShare(IS_FLOODING.negate()) > 0.9);
        assertEquals(0, replay.count(call -> call.refusals > 2));
    }
}
