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

class WaitingLinesPropertyTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final Comparator<SlotRequest> BY_URGENCY =
            Comparator.comparingInt(SlotRequest::rank).thenComparingInt(SlotRequest::routeRank);

    /** Against a list that is sorted anew each time. */
    @Property(tries = 100, seed = "4712")
    void keepsTheOrderOfAListThatIsSortedEachTime(@ForAll long seed) {
        Random random = new Random(seed);
        WaitingLines lines = new WaitingLines();
        List<SlotRequest> naive = new ArrayList<>();
        Set<SlotKey> late = new HashSet<>();
        for (int step = 0; step < 100; step++) {
            change(random, lines, naive, late, step);
            assertEquals(sorted(naive, late, false), lines.fresh().toList());
            assertEquals(sorted(naive, late, true), lines.late().toList());
            assertEquals(naive.size(), lines.size());
            SlotRequest next = request(random, step);
            assertEquals(
                    naive.stream()
                            .filter(request -> !late.contains(request.key()) && BY_URGENCY.compare(request, next) <= 0)
                            .count(),
                    lines.ahead(next));
        }
    }

    private static void change(
            Random random, WaitingLines lines, List<SlotRequest> naive, Set<SlotKey> late, int step) {
        int choice = random.nextInt(4);
        if (choice < 2 || naive.isEmpty()) {
            SlotRequest added = request(random, step);
            lines.add(added);
            naive.add(added);
            return;
        }
        SlotRequest some = naive.get(random.nextInt(naive.size()));
        if (choice == 2) {
            lines.remove(some.key());
            naive.remove(some);
        } else {
            lines.markLate(some);
            late.add(some.key());
        }
    }

    private static List<SlotRequest> sorted(List<SlotRequest> naive, Set<SlotKey> late, boolean ofLate) {
        return naive.stream()
                .filter(request -> late.contains(request.key()) == ofLate)
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
