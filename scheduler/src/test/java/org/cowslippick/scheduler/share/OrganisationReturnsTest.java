package org.cowslippick.scheduler.share;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.world.OrganisationName;
import org.junit.jupiter.api.Test;

class OrganisationReturnsTest {

    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final Optional<OrganisationName> ONE = Optional.of(new OrganisationName("one"));
    private static final Optional<OrganisationName> OTHER = Optional.of(new OrganisationName("other"));

    private final OrganisationReturns returns = new OrganisationReturns();

    /** Returns at the rate of the whole pool were refused again for lack of a share. */
    @Test
    void returnsFollowEachOtherAtTheRateOfTheOrganisationsShare() {
        IntStream.range(0, 200).forEach(number -> returns.recordDispatch(number % 4 == 0 ? OTHER : ONE));
        assertEquals(800 * MILLISECOND, earliest(ONE));
        assertEquals(800 * MILLISECOND + 10 * MILLISECOND * 4 / 3, earliest(ONE));
        assertEquals(800 * MILLISECOND, earliest(OTHER));
    }

    /** An organisation that was not served lately must not be put off for longer than its share. */
    @Test
    void organisationWithoutDispatchesHasAnEqualShare() {
        IntStream.range(0, 200).forEach(_number -> returns.recordDispatch(OTHER));
        assertEquals(800 * MILLISECOND, earliest(ONE));
        assertEquals(820 * MILLISECOND, earliest(ONE));
    }

    @Test
    void returnsBeyondTheLongestDelayStayWithinItsLastQuarter() {
        IntStream.range(0, 1_000).forEach(_number -> earliest(ONE));
        assertEquals(3_200 * MILLISECOND, earliest(ONE));
    }

    private long earliest(Optional<OrganisationName> organisation) {
        return returns.earliestNanos(organisation, 800 * MILLISECOND, 4_000 * MILLISECOND, 10 * MILLISECOND, 0);
    }
}
