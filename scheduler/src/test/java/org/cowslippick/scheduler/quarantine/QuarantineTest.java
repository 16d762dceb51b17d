package org.cowslippick.scheduler.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.world.EndpointName;
import org.junit.jupiter.api.Test;

class QuarantineTest {

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long NOW_NANOS = 10_000 * SECOND_NANOS;
    private static final EndpointName FIRST = new EndpointName("first");
    private static final EndpointName SECOND = new EndpointName("second");

    @Test
    void quarantinesForALimitedTimeAfterTheSecondCrash() {
        Quarantine quarantine = new Quarantine();
        quarantine.recordCrash(7, FIRST, NOW_NANOS);
        assertTrue(quarantine.isSuspect(7, NOW_NANOS));
        assertTrue(quarantine.remainingTime(7, NOW_NANOS).isEmpty());
        quarantine.recordCrash(7, SECOND, NOW_NANOS + SECOND_NANOS);
        assertTrue(quarantine.remainingTime(7, NOW_NANOS + SECOND_NANOS).isPresent());
        assertTrue(quarantine.remainingTime(7, NOW_NANOS + 601 * SECOND_NANOS).isEmpty());
    }

    @Test
    void deduplicatesReportsOfOneCrash() {
        Quarantine quarantine = new Quarantine();
        quarantine.recordCrash(7, FIRST, NOW_NANOS);
        quarantine.recordCrash(7, FIRST, NOW_NANOS + SECOND_NANOS);
        assertFalse(quarantine.remainingTime(7, NOW_NANOS + SECOND_NANOS).isPresent());
    }

    @Property(seed = "1", tries = 200)
    void mergesInAnyOrderAndRepeatedlyWithTheSameResult(@ForAll long seed) {
        ImmutableList<AttributedCrash> some = attributedCrashes(new SplittableRandom(seed));
        ImmutableList<AttributedCrash> others = attributedCrashes(new SplittableRandom(seed + 1));
        assertEquals(quarantined(ImmutableList.of(some, others)), quarantined(ImmutableList.of(others, some, others)));
    }

    private static ImmutableList<AttributedCrash> attributedCrashes(SplittableRandom random) {
        return IntStream.range(0, random.nextInt(12))
                .mapToObj(_number -> new AttributedCrash(
                        random.nextInt(6),
                        random.nextBoolean() ? FIRST : SECOND,
                        random.nextLong(50) * 10 * SECOND_NANOS))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableSet<Long> quarantined(ImmutableList<ImmutableList<AttributedCrash>> merged) {
        Quarantine quarantine = new Quarantine();
        merged.forEach(attributedCrashes -> quarantine.merge(attributedCrashes, NOW_NANOS));
        return IntStream.range(0, 6)
                .mapToObj(fingerprint -> (long) fingerprint)
                .filter(fingerprint ->
                        quarantine.remainingTime(fingerprint, NOW_NANOS).isPresent())
                .collect(ImmutableSet.toImmutableSet());
    }
}
