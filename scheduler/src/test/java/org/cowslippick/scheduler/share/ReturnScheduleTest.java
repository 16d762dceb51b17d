package org.cowslippick.scheduler.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {

    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long EARLIEST = 800 * MILLISECOND;
    private static final long LATEST = 4_000 * MILLISECOND;

    private final ReturnSchedule schedule = new ReturnSchedule();

    /** The first refusal of a calm second names the delay of an unspread one. */
    @Test
    void firstReturnIsBookedAtTheEarliestTime() {
        assertEquals(EARLIEST, schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, 7 * MILLISECOND));
    }

    /** Returns that came together were refused once more. */
    @Test
    void returnsAreBookedAtTheDispatchRate() {
        List<Long> delays = LongStream.range(0, 200)
                .mapToObj(_number -> schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, 0))
                .toList();
        for (long until = EARLIEST; until < LATEST; until += 100 * MILLISECOND) {
            long end = until;
            long returned = delays.stream().filter(delay -> delay < end).count();
            long dispatched = (until - EARLIEST) / (10 * MILLISECOND);
            assertTrue(returned <= dispatched + 3, () -> returned + " returns where " + dispatched + " are dispatched");
        }
    }

    /** The largest burst seen: 1,063 refusals in two seconds, far more than 100 dispatches a second can take. */
    @Test
    void burstBeyondTheLongestDelayIsSpreadEvenly() {
        int[] counts = new int[7];
        for (int number = 0; number < 1_063; number++) {
            long now = 2_000 * MILLISECOND * number / 1_063;
            long delay = schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, now);
            assertTrue(delay >= EARLIEST && delay <= LATEST);
            counts[(int) ((now + delay) / (1_000 * MILLISECOND))]++;
        }
        for (int second = 1; second < 5; second++) {
            assertTrue(counts[second] < 350, "too many return in second " + second + ": " + counts[second]);
        }
    }

    @Test
    void returnsOfLessUrgentLevelsLeaveRoomForMoreUrgentOnes() {
        LongStream.range(0, 1_000).forEach(_number -> schedule.book(3, EARLIEST, LATEST, 10 * MILLISECOND, 0));
        assertEquals(EARLIEST, schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, 0));
    }

    @Test
    void pastBookingsAreForgotten() {
        LongStream.range(0, 1_000).forEach(_number -> schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, 0));
        long later = 4_100 * MILLISECOND;
        assertEquals(EARLIEST, schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, later));
        assertEquals(EARLIEST, schedule.book(0, EARLIEST, LATEST, 10 * MILLISECOND, 1_000 * later));
    }
}
