package org.cowslippick.scheduler.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BacklogAdmissionTest {

    @Test
    void admitsAllWhileTheLoopKeepsUp() {
        assertTrue(IntStream.range(0, 8)
                .allMatch(rank -> BacklogAdmission.refusal(rank, Duration.ZERO).isEmpty()));
    }

    @Test
    void refusesAllOfABacklogOfSeconds() {
        assertEquals(Optional.of(Duration.ofSeconds(4)), BacklogAdmission.refusal(0, Duration.ofSeconds(2)));
    }

    @Property(seed = "1", tries = 2_000)
    void neverRefusesAMoreUrgentRequestBeforeALessUrgentOne(
            @ForAll @IntRange(max = 10) int rank,
            @ForAll @IntRange(max = 10) int lessUrgent,
            @ForAll @IntRange(max = 3_000) int lagMilliseconds) {
        Duration lag = Duration.ofMillis(lagMilliseconds);
        boolean isRefused = BacklogAdmission.refusal(rank, lag).isPresent();
        assertTrue(!isRefused
                || lessUrgent < rank
                || BacklogAdmission.refusal(lessUrgent, lag).isPresent());
    }

    @Property(seed = "1", tries = 2_000)
    void asksCallersToReturnAfterTheBacklog(
            @ForAll @IntRange(max = 10) int rank, @ForAll @IntRange(max = 1_900) int lagMilliseconds) {
        Duration lag = Duration.ofMillis(lagMilliseconds);
        assertTrue(BacklogAdmission.refusal(rank, lag)
                .filter(delay -> delay.compareTo(lag) < 0)
                .isEmpty());
    }
}
