package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.stream.OriginAnswer;
import org.cowslippick.relay.stream.OriginPeers.Answers;
import org.junit.jupiter.api.Test;

/** An instance asks the others which version has begun a stream; one of them knows. */
class StreamOriginExchangeTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final int ASKING = 0;
    private static final int KNOWING = 2;
    private static final long STREAM = 7;
    private static final OriginAnswer RECORDED = new OriginAnswer(Optional.of("v1"), ImmutableSet.of());
    private static final OriginAnswer NOTHING = new OriginAnswer(Optional.empty(), ImmutableSet.of("v2"));

    private final List<Answers> answers = new ArrayList<>();

    private SlotFleet fleet(int instances) {
        SlotFleet fleet = new SlotFleet(
                instances, ImmutableList.of(SlotFleet.endpoint(0)), Duration.ofSeconds(1), SlotFleet.Node::answered);
        fleet.stopCallers();
        fleet.timer().advance(Duration.ofSeconds(2));
        return fleet;
    }

    private StreamOriginExchange join(SlotFleet fleet, int number) {
        return fleet.joinStreams(
                number, (_service, stream) -> number == KNOWING && stream == STREAM ? RECORDED : NOTHING);
    }

    private void ask(SlotFleet fleet, int instances, long stream) {
        StreamOriginExchange asking = join(fleet, ASKING);
        for (int number = 1; number < instances; number++) {
            join(fleet, number);
        }
        asking.ask(SERVICE, stream, answers::add);
    }

    @Test
    void recordedOriginOfOneInstanceIsEnough() {
        SlotFleet fleet = fleet(4);
        ask(fleet, 4, STREAM);
        assertTrue(answers.get(0).received().contains(RECORDED), answers::toString);
        fleet.timer().advance(Duration.ofSeconds(1));
        assertEquals(1, answers.size());
    }

    @Test
    void allAnswersAreAwaitedIfNoneIsRecorded() {
        ask(fleet(4), 4, STREAM + 1);
        assertEquals(List.of(new Answers(ImmutableList.of(NOTHING, NOTHING, NOTHING), true, true)), answers);
    }

    /** Guards against a caller that waits for an instance that was killed. */
    @Test
    void silentInstanceIsNotWaitedForWithoutEnd() {
        SlotFleet fleet = fleet(4);
        fleet.network().isolate(SlotFleet.name(KNOWING));
        ask(fleet, 4, STREAM);
        assertEquals(List.of(), answers);
        fleet.timer().advance(Duration.ofSeconds(1));
        assertEquals(List.of(new Answers(ImmutableList.of(NOTHING, NOTHING), false, true)), answers);
    }

    /** Guards against instances that were cut off together and take those that answer for the whole fleet. */
    @Test
    void answersWithoutThoseOfInstancesThatHaveLongBeenSilentAreNotFromAll() {
        SlotFleet fleet = fleet(4);
        fleet.network().isolate(SlotFleet.name(KNOWING));
        fleet.timer().advance(Duration.ofSeconds(10));
        ask(fleet, 4, STREAM);
        assertEquals(List.of(new Answers(ImmutableList.of(NOTHING, NOTHING), true, false)), answers);
    }

    /** Guards against queries to all instances of a large fleet. */
    @Test
    void ownersAndCollectorsAreAskedInALargeFleet() {
        SlotFleet fleet = fleet(30);
        ask(fleet, 30, STREAM + 1);
        assertTrue(answers.get(0).isComplete());
        long queries = fleet.network().count(StreamOriginMessages.Query.class);
        assertTrue(queries <= 3, queries + " queries");
    }
}
