package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.cowslippick.scheduler.prefix.PromptPart;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.cowslippick.scheduler.stream.StreamTerms;
import org.junit.jupiter.api.Test;

class SlotMessagesTest {

    private static final FrameCodec CODEC = new FrameCodec(new MessageTypes(SlotMessages.types()));
    private static final SlotPool POOL = new SlotPool(new ServiceName("model"), new Region("asturias"));
    private static final SlotKey KEY = new SlotKey(new InstanceName("front-1"), 7);

    /** The owner would decide by a request that differs from the one that its caller sent. */
    @Test
    void requestIsTheSameAtTheOwner() {
        SlotRequest request = new SlotRequest(
                KEY,
                1,
                2,
                3,
                6_000,
                40,
                false,
                400,
                8,
                100,
                200,
                300,
                400,
                500,
                ImmutableSet.of("engine-1"),
                Optional.of(new OrganisationName("portalia")),
                ImmutableSet.of("engine-2"),
                ImmutableList.of(new PromptPart(Long.MIN_VALUE, 5_000), new PromptPart(-1, 1_000)),
                new StreamTerms(OptionalLong.of(-7), Optional.of("v1")));
        SlotMessages.Adopt adopt = new SlotMessages.Adopt(
                POOL, SlotMessages.RelativeSlotRequest.of(request, 150), "engine-1", new SpeedEstimate(1, 2, 3));
        SlotMessages.Adopt received = (SlotMessages.Adopt)
                CODEC.decode(CODEC.encode(new Envelope(1, adopt))).orElseThrow().message();
        assertEquals(request, received.request().toRequest(KEY, 150));
        assertEquals(adopt.speed(), received.speed());
    }
}
