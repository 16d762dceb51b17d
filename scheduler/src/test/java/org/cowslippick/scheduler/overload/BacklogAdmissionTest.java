package org.cowslippick.scheduler.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BacklogAdmissionTest {

    @Test
    void admitsAllWhileTheLoopKeepsUp() {
        assertTrue(IntStream.range(0, 8).allMatch(rank -> BacklogAdmission.refusal(rank, Duration.ZERO, 0)
                .isEmpty()));
    }

    @Test
    void refusesAllOfABacklogOfSeconds() {
        assertEquals(Optional.of(Duration.ofSeconds(2)), BacklogAdmission.refusal(0, Duration.ofSeconds(2), 0));
    }

    @Property(seed = "1", tries = 2_000)
    void neverRefusesAMoreUrgentRequestBeforeALessUrgentOne(
            @ForAll @IntRange(max = 10) int rank,
            @ForAll @IntRange(max = 10) int lessUrgent,
            @ForAll @IntRange(max = 3_000) int lagMilliseconds) {
        Duration lag = Duration.ofMillis(lagMilliseconds);
        boolean isRefused = BacklogAdmission.refusal(rank, lag, 0).isPresent();
        assertTrue(!isRefused
                || lessUrgent < rank
                || BacklogAdmission.refusal(lessUrgent, lag, 0).isPresent());
    }

    @Property(seed = "1", tries = 2_000)
    void asksCallersToReturnAfterTheBacklog(
            @ForAll @IntRange(max = 10) int rank, @ForAll @IntRange(max = 1_900) int lagMilliseconds) {
        Duration lag = Duration.ofMillis(lagMilliseconds);
        assertTrue(BacklogAdmission.refusal(rank, lag, 0)
                .filter(delay -> delay.compareTo(lag) < 0)
                .isEmpty());
    }

    @Property(seed = "1", tries = 2_000)
    void callersReturnByRankAndSpread(
            @ForAll @IntRange(max = 10) int rank,
            @ForAll @IntRange(min = 401, max = 3_000) int lagMilliseconds,
            @ForAll @DoubleRange(max = 0.99) double spread,
            @ForAll @DoubleRange(max = 0.99) double otherSpread) {
        Duration lag = Duration.ofMillis(lagMilliseconds);
        Duration delay = BacklogAdmission.refusal(rank, lag, spread).orElseThrow();
        Duration later = BacklogAdmission.refusal(rank + 1, lag, otherSpread).orElseThrow();
        Duration earliest = BacklogAdmission.refusal(0, lag, 0).orElseThrow();
        assertTrue(delay.compareTo(later) <= 0);
        assertTrue(delay.compareTo(earliest) >= 0);
        assertTrue(delay.compareTo(earliest.multipliedBy(2)) <= 0);
    }
}
