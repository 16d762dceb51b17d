package org.cowslippick.scheduler.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final ServiceName OTHER_SERVICE = new ServiceName("booking");
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long START_NANOS = 1_000 * SECOND_NANOS;

    private final CrashHistory history = new CrashHistory();
    private long lastNumber;

    @Test
    void thirdCrashQuarantinesThePartThatAllCrashesHaveInCommon() {
        crash(1, "first", "harmful", "request:1");
        crash(2, "first", "harmful", "request:2");
        assertTrue(history.quarantinedContents().isEmpty());
        crash(3, "first", "harmful", "request:3");
        assertEquals(ImmutableSet.of("harmful"), history.quarantinedContents());
    }

    @Test
    void partThatIsInCrashesOfAnotherCauseTooIsNotQuarantinedInPlaceOfTheHarmfulOne() {
        crash(0, "first", "other", "request:0");
        crash(1, "first", "harmful", "request:1");
        crash(2, "first", "harmful", "request:2");
        crash(3, "first", "harmful", "request:3");
        assertEquals(ImmutableSet.of("harmful"), history.quarantinedContents());
    }

    @Test
    void twoHarmfulPartsThatShareTheFirstPartAreQuarantinedEach() {
        IntStream.range(0, 3).forEach(number -> crash(2 * number, "first", "harmful", "request:a" + number));
        IntStream.range(0, 3).forEach(number -> crash(2 * number + 1, "first", "worse", "request:b" + number));
        assertEquals(ImmutableSet.of("harmful", "worse"), history.quarantinedContents());
    }

    @Test
    void requestThatIsRepeatedAfterEachCrashIsQuarantinedWithoutItsParts() {
        IntStream.range(0, 3).forEach(second -> crash(second, "first", "request:1"));
        assertEquals(ImmutableSet.of("request:1"), history.quarantinedContents());
    }

    @Test
    void endpointsThatCrashTogetherQuarantineNothing() {
        IntStream.range(0, 9).forEach(number -> add("engine-" + number, START_NANOS + number, "first", "request:1"));
        assertTrue(history.quarantinedContents().isEmpty());
    }

    @Test
    void reportsOfOneCrashByManyInstancesCountOnce() {
        IntStream.range(0, 9)
                .forEach(number -> add("engine-1", START_NANOS + number * SECOND_NANOS / 4, "first", "request:1"));
        assertTrue(history.quarantinedContents().isEmpty());
    }

    @Test
    void contentThatWasAnsweredAfterACrashIsCleared() {
        crash(1, "first", "other", "request:1");
        crash(2, "first", "other", "request:2");
        assertEquals(
                2,
                history.clear(SERVICE, ImmutableList.of("first", "other"), START_NANOS + 2 * SECOND_NANOS)
                        .size());
        crash(3, "first", "other", "request:3");
        crash(4, "first", "other", "request:4");
        assertTrue(history.quarantinedContents().isEmpty());
    }

    @Test
    void onlyRecordsThatAreNewOrHaveLostSuspectsArePassedOn() {
        crash(1, "first", "other");
        crash(2, "first");
        assertTrue(history.merge(history.records(), START_NANOS).isEmpty());
        assertEquals(
                1,
                history.clear(SERVICE, ImmutableList.of("other"), START_NANOS).size());
        assertTrue(
                history.clear(SERVICE, ImmutableList.of("other"), START_NANOS).isEmpty());
    }

    @Test
    void quarantineHoldsForOneServiceOnly() {
        IntStream.range(0, 3).forEach(second -> crash(second, "harmful"));
        assertTrue(history.quarantined(SERVICE, ImmutableList.of("harmful")).isPresent());
        assertFalse(
                history.quarantined(OTHER_SERVICE, ImmutableList.of("harmful")).isPresent());
    }

    @Test
    void afterTheRetentionOneCrashRestoresTheQuarantine() {
        IntStream.range(0, 3).forEach(second -> crash(second, "harmful"));
        long later = START_NANOS + CrashHistory.RETENTION.toNanos();
        assertTrue(history.expire(later));
        assertTrue(history.quarantinedContents().isEmpty());
        add("engine-9", later, "harmful");
        assertEquals(ImmutableSet.of("harmful"), history.quarantinedContents());
    }

    @Test
    void keepsABoundedNumberOfRecordsAndDropsTheOldest() {
        IntStream.range(0, CrashHistory.MAXIMUM_RECORDS + 3).forEach(second -> crash(second, "content-" + second));
        assertEquals(CrashHistory.MAXIMUM_RECORDS, history.records().size());
        assertTrue(
                history.records().stream().noneMatch(record -> record.suspects().contains("content-2")));
    }

    /** Instances receive the same records and clearings in different orders, some of them more than once. */
    @Property(seed = "1", tries = 200)
    void mergesInAnyOrderAndRepeatedlyWithTheSameResult(@ForAll long seed) {
        Random random = new Random(seed);
        List<CrashHistory> sources = IntStream.range(0, 4)
                .mapToObj(instance -> randomHistory("front-" + instance, random))
                .toList();
        List<Consumer<CrashHistory>> merges = new ArrayList<>();
        sources.forEach(source -> IntStream.range(0, 2)
                .forEach(_time -> merges.add(target -> target.merge(source.records(), START_NANOS))));
        CrashHistory one = mergedInRandomOrder(merges, random);
        CrashHistory other = mergedInRandomOrder(merges, random);
        assertEquals(one.digest(), other.digest());
        assertEquals(one.quarantinedContents(), other.quarantinedContents());
        assertEquals(ImmutableSet.copyOf(one.records()), ImmutableSet.copyOf(other.records()));
    }

    private static CrashHistory mergedInRandomOrder(List<Consumer<CrashHistory>> merges, Random random) {
        List<Consumer<CrashHistory>> shuffled = new ArrayList<>(merges);
        Collections.shuffle(shuffled, random);
        CrashHistory merged = new CrashHistory();
        shuffled.forEach(merge -> merge.accept(merged));
        return merged;
    }

    /** The records with the numbers 0 to 9 of one reporter, of which this copy has cleared some suspects. */
    private static CrashHistory randomHistory(String reporter, Random random) {
        CrashHistory history = new CrashHistory();
        int count = random.nextInt(10);
        history.merge(
                IntStream.range(0, count)
                        .mapToObj(number -> record(
                                new CrashId(new InstanceName("front-0"), new Incarnation(1), number),
                                "engine-" + number,
                                START_NANOS - number * SECOND_NANOS,
                                ImmutableList.of("first", "part-" + number % 3, "request:" + number)))
                        .toList(),
                START_NANOS);
        history.merge(
                ImmutableList.of(record(
                        new CrashId(new InstanceName(reporter), new Incarnation(2), 1),
                        "engine-x",
                        START_NANOS,
                        ImmutableList.of("first", "part-" + random.nextInt(3)))),
                START_NANOS);
        if (random.nextBoolean()) {
            history.clear(SERVICE, ImmutableList.of("part-" + random.nextInt(3)), START_NANOS);
        }
        return history;
    }

    private void crash(int second, String... suspects) {
        add("engine-" + second, START_NANOS + second * SECOND_NANOS, suspects);
    }

    private void add(String endpoint, long atNanos, String... suspects) {
        lastNumber++;
        history.merge(
                ImmutableList.of(record(
                        new CrashId(new InstanceName("front-1"), new Incarnation(1), lastNumber),
                        endpoint,
                        atNanos,
                        ImmutableList.copyOf(suspects))),
                atNanos);
    }

    private static CrashRecord record(CrashId id, String endpoint, long atNanos, ImmutableList<String> suspects) {
        return new CrashRecord(id, SERVICE, endpoint, atNanos, suspects);
    }
}
