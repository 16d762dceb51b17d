package org.cowslippick.scheduler.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslippick.core.world.OrganisationName;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private static final double LARGEST_WORK = 9;

    private final FairQueue<Item> queue = newQueue();
    private int lastNumber;

    /** Guards against a merged order that differs from what dispatches then do. */
    @Property(tries = 100, seed = "4713")
    void streamIsTheOrderOfTheDispatches(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int organisations) {
        Random random = new Random(seed);
        FairQueue<Item> changed = newQueue();
        for (int step = 0; step < 60; step++) {
            changed.add(item(random, organisations, step));
            if (random.nextInt(3) == 0) {
                changed.take(changed.first().orElseThrow(), step);
            }
            if (random.nextInt(5) == 0) {
                changed.stream().skip(random.nextInt(3)).findFirst().ifPresent(changed::remove);
            }
        }
        List<Item> expected = changed.stream().toList();
        assertEquals(changed.size(), expected.size());
        List<Item> dispatched = new ArrayList<>();
        while (!changed.isEmpty()) {
            Item first = changed.first().orElseThrow();
            dispatched.add(first);
            changed.take(first, 100);
        }
        assertEquals(expected, dispatched);
    }

    /** The bound of start-time fair queueing; guards against an organisation that takes more than its share. */
    @Property(tries = 100, seed = "4714")
    void organisationsThatAlwaysWaitGetTheSameWork(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 16) int organisations) {
        Random random = new Random(seed);
        FairQueue<Item> changed = newQueue();
        IntStream.range(0, organisations).forEach(index -> IntStream.range(0, 60)
                .forEach(number -> changed.add(
                        new Item(name(index), 100 * index + number, 1 + random.nextInt((int) LARGEST_WORK), false))));
        Map<Optional<OrganisationName>, Double> served = new HashMap<>();
        for (int step = 0; step < 5 * organisations; step++) {
            Item first = changed.first().orElseThrow();
            changed.take(first, step);
            served.merge(first.organisation, first.work, Double::sum);
        }
        double least = served.values().stream().mapToDouble(work -> work).min().getAsDouble();
        double most = served.values().stream().mapToDouble(work -> work).max().getAsDouble();
        assertEquals(organisations, served.size());
        assertTrue(most - least <= 2 * LARGEST_WORK, () -> served.toString());
    }

    /** Guards against waits that are estimated far from the place which a request gets. */
    @Property(tries = 200, seed = "4715")
    void estimateOfThePlaceIsWithinAFactorOfTwoAndOneRequestOfEachOrganisation(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 16) int organisations) {
        Random random = new Random(seed);
        FairQueue<Item> changed = newQueue();
        for (int step = 0; step < 400; step++) {
            int index = (int) (organisations * random.nextDouble() * random.nextDouble());
            changed.add(new Item(name(index), step, 5 + random.nextInt(2), false));
            if (step % 2 == 0) {
                changed.take(changed.first().orElseThrow(), step);
            }
        }
        Item next = new Item(name(random.nextInt(organisations)), 1_000, 5, false);
        int estimate = changed.countAhead(next);
        changed.add(next);
        int place = changed.stream().toList().indexOf(next);
        assertTrue(
                estimate <= 2 * place + organisations && place <= 2 * estimate + organisations,
                () -> "estimated " + estimate + ", placed " + place);
    }

    @Test
    void oneOrganisationKeepsReturnsFirstAndThenTheOrderOfArrival() {
        Item first = add(1, 9, false);
        Item second = add(1, 1, false);
        Item returned = add(1, 5, true);
        assertEquals(List.of(returned, first, second), queue.stream().toList());
        assertEquals(3, queue.countAhead(item(1, 1, false)));
        assertEquals(1, queue.countAheadOfReturn(item(1, 1, true)));
    }

    /** With credit for idle time, an organisation could hold all others up after a quiet hour. */
    @Test
    void idleOrganisationGainsNoCredit() {
        IntStream.range(0, 20).forEach(_index -> add(1, 1, false));
        IntStream.range(0, 10).forEach(step -> queue.take(queue.first().orElseThrow(), step));
        IntStream.range(0, 10).forEach(_index -> add(2, 1, false));
        double ofNewcomer = queue.stream()
                .limit(10)
                .filter(item -> item.organisation.equals(name(2)))
                .count();
        assertEquals(5, ofNewcomer, 1);
    }

    /** A flood must not put a request of another organisation at the end of the line. */
    @Test
    void floodOfOneOrganisationIsNotAheadOfAnother() {
        IntStream.range(0, 1_000).forEach(_index -> add(1, 5, false));
        assertEquals(1, queue.countAhead(item(2, 5, false)));
        assertEquals(1_000, queue.countAhead(item(1, 5, false)));
    }

    @Test
    void givesUpTheLastRequestOfTheOrganisationWithTheMostWork() {
        add(1, 5, false);
        Item last = add(1, 5, false);
        add(2, 5, false);
        assertEquals(Optional.of(last), queue.replaceableBy(item(3, 5, false)));
        assertEquals(Optional.empty(), queue.replaceableBy(item(1, 5, false)));
        assertEquals(Optional.empty(), queue.replaceableBy(item(2, 5, false)));
        assertEquals(Optional.of(last), queue.replaceableBy(item(1, 5, true)));
    }

    private Item add(int organisation, double work, boolean isReturn) {
        Item item = item(organisation, work, isReturn);
        queue.add(item);
        return item;
    }

    private Item item(int organisation, double work, boolean isReturn) {
        lastNumber++;
        return new Item(name(organisation), lastNumber, work, isReturn);
    }

    private static Item item(Random random, int organisations, int number) {
        return new Item(
                name(random.nextInt(organisations)),
                number,
                1 + random.nextInt((int) LARGEST_WORK),
                random.nextInt(5) == 0);
    }

    private static Optional<OrganisationName> name(int organisation) {
        return Optional.of(new OrganisationName("organisation-" + organisation));
    }

    private static FairQueue<Item> newQueue() {
        return new FairQueue<>(
                Comparator.comparing((Item item) -> !item.isReturn).thenComparingInt(Item::number),
                Item::organisation,
                Item::work,
                Item::isReturn);
    }

    private record Item(Optional<OrganisationName> organisation, int number, double work, boolean isReturn) {}
}
