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
    void quarantinesAfterTheSecondCrashForATime() {
        Quarantine quarantine = new Quarantine();
        quarantine.crashed(7, FIRST, NOW_NANOS);
        assertTrue(quarantine.suspects(7, NOW_NANOS));
        assertTrue(quarantine.remaining(7, NOW_NANOS).isEmpty());
        quarantine.crashed(7, SECOND, NOW_NANOS + SECOND_NANOS);
        assertTrue(quarantine.remaining(7, NOW_NANOS + SECOND_NANOS).isPresent());
        assertTrue(quarantine.remaining(7, NOW_NANOS + 601 * SECOND_NANOS).isEmpty());
    }

    @Test
    void countsReportsOfOneCrashOnce() {
        Quarantine quarantine = new Quarantine();
        quarantine.crashed(7, FIRST, NOW_NANOS);
        quarantine.crashed(7, FIRST, NOW_NANOS + SECOND_NANOS);
        assertFalse(quarantine.remaining(7, NOW_NANOS + SECOND_NANOS).isPresent());
    }

    @Property(seed = "1", tries = 200)
    void mergingInAnyOrderAndRepeatedlyGivesTheSame(@ForAll long seed) {
        ImmutableList<Death> some = deaths(new SplittableRandom(seed));
        ImmutableList<Death> others = deaths(new SplittableRandom(seed + 1));
        assertEquals(quarantined(ImmutableList.of(some, others)), quarantined(ImmutableList.of(others, some, others)));
    }

    private static ImmutableList<Death> deaths(SplittableRandom random) {
        return IntStream.range(0, random.nextInt(12))
                .mapToObj(_number -> new Death(
                        random.nextInt(6),
                        random.nextBoolean() ? FIRST : SECOND,
                        random.nextLong(50) * 10 * SECOND_NANOS))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableSet<Long> quarantined(ImmutableList<ImmutableList<Death>> merged) {
        Quarantine quarantine = new Quarantine();
        merged.forEach(deaths -> quarantine.merge(deaths, NOW_NANOS));
        return IntStream.range(0, 6)
                .mapToObj(fingerprint -> (long) fingerprint)
                .filter(fingerprint ->
                        quarantine.remaining(fingerprint, NOW_NANOS).isPresent())
                .collect(ImmutableSet.toImmutableSet());
    }
}
