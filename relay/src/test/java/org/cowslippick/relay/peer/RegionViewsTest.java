package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.relay.state.StorePosition;
import org.junit.jupiter.api.Test;

class RegionViewsTest {

    private static final OrganisationName ORGANISATION = new OrganisationName("portalia");
    private static final RegionReport.Member MEMBER = new RegionReport.Member(new InstanceName("front-9"), true);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final RegionViews views = new RegionViews();

    @Test
    void countsUsageReportedByTwoCollectorsOnce() {
        views.received(full("one", 1, 100), 0);
        views.received(full("two", 1, 70), 0);
        assertEquals(ImmutableMap.of(ORGANISATION, 50L), views.received(full("one", 1, 150), SECOND / 4));
        assertEquals(ImmutableMap.of(), views.received(full("two", 1, 120), SECOND / 4));
    }

    @Test
    void switchesToTheOtherCollectorWhenTheFirstStopsReporting() {
        views.received(full("one", 1, 100), 0);
        views.received(full("two", 1, 70), 0);
        views.received(full("two", 1, 90), 3 * SECOND);
        assertEquals(ImmutableMap.of(ORGANISATION, 10L), views.received(full("two", 1, 100), 3 * SECOND + SECOND / 4));
    }

    @Test
    void resetsTotalsWithANewIncarnationOfACollector() {
        views.received(full("one", 1, 100), 0);
        assertEquals(ImmutableMap.of(), views.received(full("one", 2, 30), SECOND / 4));
        assertEquals(ImmutableMap.of(ORGANISATION, 5L), views.received(full("one", 2, 35), SECOND / 2));
    }

    @Test
    void keepsTheMembersOfTheLastFullReport() {
        views.received(full("one", 1, 100), 0);
        views.received(partial("one", 1, 120), SECOND);
        assertEquals(ImmutableSet.of(MEMBER), views.members(SECOND));
        assertEquals(ImmutableSet.of(), views.members(4 * SECOND));
    }

    @Test
    void countsNothingBeforeTheFirstFullReport() {
        views.received(partial("one", 1, 100), 0);
        assertEquals(ImmutableMap.of(), views.received(partial("one", 1, 200), SECOND / 4));
    }

    private static RegionReport full(String collector, long incarnation, long used) {
        return report(collector, incarnation, used, Optional.of(ImmutableList.of(MEMBER)));
    }

    private static RegionReport partial(String collector, long incarnation, long used) {
        return report(collector, incarnation, used, Optional.empty());
    }

    private static RegionReport report(
            String collector, long incarnation, long used, Optional<ImmutableList<RegionReport.Member>> members) {
        return new RegionReport(
                new Region("asturias"),
                new InstanceName(collector),
                new Incarnation(incarnation),
                new StateVersions(1, new StorePosition(0, 1), new StorePosition(0, 1)),
                members,
                ImmutableList.of(new InstanceReport.Usage(ORGANISATION, used)),
                ImmutableList.of());
    }
}
