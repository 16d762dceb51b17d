package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.stream.IntStream;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.junit.jupiter.api.Test;

/** The owner of a pool is silent for a while, and others own the pool meanwhile. */
class SlotTakeoverTest {

    private static final int INSTANCES = 4;
    private static final Duration CALLER_PERIOD = Duration.ofMillis(200);

    /** A request that began under one owner ends under the next one. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(1);

    private static final Duration SILENCE = Duration.ofMillis(2_500);

    private final SlotFleet fleet = new SlotFleet(
            INSTANCES, ImmutableList.of(SlotFleet.endpoint(0), SlotFleet.endpoint(1)), CALLER_PERIOD, this::granted);
    private final ManualTimerService timer = fleet.timer();

    /** The stand-in kept the slots of requests that were running when the owner returned, and refused for want of them. */
    @Test
    void noInstanceKeepsSlotsOfRequestsThatHaveEnded() {
        timer.advance(Duration.ofSeconds(3));
        ImmutableList<Integer> before = freeSlots();
        int owner = fleet.owner();
        for (int time = 0; time < 3; time++) {
            fleet.network().isolate(SlotFleet.name(owner));
            timer.advance(SILENCE);
            fleet.network().reconnect(SlotFleet.name(owner));
            timer.advance(SILENCE);
        }
        fleet.stopCallers();
        timer.advance(Duration.ofSeconds(5));
        int all = SlotFleet.endpoint(0).slots() + SlotFleet.endpoint(1).slots();
        assertEquals(
                IntStream.range(0, INSTANCES).mapToObj(_number -> all).collect(ImmutableList.toImmutableList()),
                freeSlots(),
                () -> "before the silence: " + before);
    }

    private ImmutableList<Integer> freeSlots() {
        return IntStream.range(0, INSTANCES).mapToObj(fleet::freeSlots).collect(ImmutableList.toImmutableList());
    }

    private void granted(SlotFleet.Node node, SlotDecision.Granted grant) {
        timer.schedule(ANSWER_TIME, () -> node.answered(grant));
    }
}
