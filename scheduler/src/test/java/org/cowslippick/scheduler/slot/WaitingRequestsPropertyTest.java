package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.world.InstanceName;

class WaitingRequestsPropertyTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final Comparator<SlotRequest> BY_URGENCY =
            Comparator.comparingInt(SlotRequest::rank).thenComparingInt(SlotRequest::routeRank);

    /** Compares with a list that is sorted on every step. */
    @Property(tries = 100, seed = "4712")
    void keepsTheOrderOfAReferenceList(@ForAll long seed) {
        Random random = new Random(seed);
        WaitingRequests waiting = new WaitingRequests();
        List<SlotRequest> reference = new ArrayList<>();
        Set<SlotKey> late = new HashSet<>();
        for (int step = 0; step < 100; step++) {
            change(random, waiting, reference, late, step);
            assertEquals(sorted(reference, late, false), waiting.onTime().toList());
            assertEquals(sorted(reference, late, true), waiting.late().toList());
            assertEquals(reference.size(), waiting.size());
            SlotRequest next = request(random, step);
            assertEquals(
                    reference.stream()
                            .filter(request -> !late.contains(request.key()) && BY_URGENCY.compare(request, next) <= 0)
                            .count(),
                    waiting.countAhead(next));
        }
    }

    private static void change(
            Random random, WaitingRequests waiting, List<SlotRequest> reference, Set<SlotKey> late, int step) {
        int choice = random.nextInt(4);
        if (choice < 2 || reference.isEmpty()) {
            SlotRequest added = request(random, step);
            waiting.add(added);
            reference.add(added);
            return;
        }
        SlotRequest some = reference.get(random.nextInt(reference.size()));
        if (choice == 2) {
            waiting.remove(some.key());
            reference.remove(some);
        } else {
            waiting.markLate(some);
            late.add(some.key());
        }
    }

    private static List<SlotRequest> sorted(List<SlotRequest> reference, Set<SlotKey> late, boolean isLate) {
        return reference.stream()
                .filter(request -> late.contains(request.key()) == isLate)
                .sorted(BY_URGENCY
                        .thenComparing(request -> !request.isCallerRetry())
                        .thenComparingLong(SlotRequest::arrivedAtNanos))
                .toList();
    }

    private static SlotRequest request(Random random, int number) {
        SlotRequest first = new SlotRequest(
                new SlotKey(INSTANCE, number),
                random.nextInt(3),
                random.nextInt(3),
                number,
                1_000,
                100,
                false,
                0,
                6,
                number,
                1_000,
                1_000,
                2_000,
                3_000,
                ImmutableSet.of());
        return Stream.of(first, first.asCallerRetry(500))
                .skip(random.nextInt(2))
                .findFirst()
                .orElseThrow();
    }
}
