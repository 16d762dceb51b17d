package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;

class SlotQueuePropertyTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final int SLOTS = 3;

    /** Compares with the set of running requests: no slot is granted twice, and no request is decided twice. */
    @Property(tries = 200, seed = "4711")
    void grantsEachSlotAndDecidesEachRequestOnlyOnce(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int endpoints) {
        Random random = new Random(seed);
        SlotQueue queue = new SlotQueue();
        queue.replaceEndpoints(endpoints(endpoints), 0);
        Map<SlotKey, String> running = new HashMap<>();
        Set<SlotKey> decided = new HashSet<>();
        long now = 0;
        for (int step = 0; step < 200; step++) {
            now += Duration.ofMillis(random.nextInt(40)).toNanos();
            for (SlotDecision decision : step(queue, running, random, step, now)) {
                assertTrue(decided.add(decision.request().key()), "decided twice");
                if (decision instanceof SlotDecision.Granted grant) {
                    running.put(grant.request().key(), grant.endpoint().id());
                }
            }
            running.values().stream()
                    .distinct()
                    .forEach(id -> assertTrue(
                            running.values().stream().filter(id::equals).count() <= SLOTS, "more requests than slots"));
        }
    }

    private static ImmutableList<SlotDecision> step(
            SlotQueue queue, Map<SlotKey, String> running, Random random, int step, long now) {
        return switch (random.nextInt(4)) {
            case 0, 1 -> queue.offer(request(step, random, now), now);
            case 2 -> end(queue, running, random, now);
            default -> queue.advance(now);
        };
    }

    private static ImmutableList<SlotDecision> end(
            SlotQueue queue, Map<SlotKey, String> running, Random random, long now) {
        if (running.isEmpty()) {
            return queue.advance(now);
        }
        List<SlotKey> keys = new ArrayList<>(running.keySet());
        SlotKey key = keys.get(random.nextInt(keys.size()));
        running.remove(key);
        AnswerOutcome[] outcomes = AnswerOutcome.values();
        return queue.recordEnd(key, outcomes[random.nextInt(outcomes.length)], now);
    }

    private static SlotRequest request(int number, Random random, long now) {
        return new SlotRequest(
                new SlotKey(INSTANCE, number),
                random.nextInt(3),
                random.nextInt(3),
                random.nextInt(50),
                random.nextInt(8_000),
                random.nextInt(400),
                random.nextBoolean(),
                Duration.ofMillis(300).toNanos(),
                6,
                now,
                now + Duration.ofMillis(400).toNanos(),
                now + Duration.ofSeconds(1).toNanos(),
                now + Duration.ofSeconds(2).toNanos(),
                now + Duration.ofSeconds(10).toNanos(),
                ImmutableSet.of());
    }

    private static ImmutableList<LiveEndpoint> endpoints(int count) {
        ImmutableList.Builder<LiveEndpoint> list = ImmutableList.builder();
        for (int index = 0; index < count; index++) {
            list.add(new LiveEndpoint(
                    "engine-" + index,
                    new ServiceName("model"),
                    HostAndPort.fromParts("10.0.0." + index, 80),
                    new FailureDomain("oviedo", new Region("asturias")),
                    SLOTS,
                    false,
                    1));
        }
        return list.build();
    }
}
