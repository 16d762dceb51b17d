package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.stream.IntStream;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CollectorSelectorTest {

    private static final Region REGION = new Region("asturias");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", REGION);
    private static final InstanceName SELF = new InstanceName("front-0");
    private static final int PERIODS = 20;

    /** The timeout was shorter than the report period from 512 other instances on. */
    @ParameterizedTest
    @ValueSource(ints = {13, 127, 390, 512, 2_000})
    void collectorThatReportsInTimeStaysSelected(int others) {
        CollectorSelector selector = new CollectorSelector(SELF, () -> ReportSchedule.collectorTimeout(others));
        ImmutableList<Instance> instances = instances();
        ImmutableList<Instance> selected = selector.selectMonitored(instances, REGION, 0);
        for (int number = 1; number <= PERIODS; number++) {
            long now = number * ReportSchedule.period(others).toNanos();
            assertEquals(selected, selector.selectMonitored(instances, REGION, now), "period " + number);
            selected.forEach(collector -> selector.recordReport(collector.name(), false, now));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {13, 390, 2_000})
    void collectorWithoutReportsIsReplaced(int others) {
        CollectorSelector selector = new CollectorSelector(SELF, () -> ReportSchedule.collectorTimeout(others));
        ImmutableList<Instance> selected = selector.selectMonitored(instances(), REGION, 0);
        long late = ReportSchedule.collectorTimeout(others)
                .plus(Duration.ofMillis(1))
                .toNanos();
        assertFalse(selector.selectMonitored(instances(), REGION, late).stream().anyMatch(selected::contains));
    }

    /** The others have more processor time, so that none of them is this instance. */
    private static ImmutableList<Instance> instances() {
        return IntStream.range(0, 8)
                .mapToObj(number -> new Instance(
                        new InstanceName("front-" + number),
                        DOMAIN,
                        HostAndPort.fromParts("10.0.0." + number, 80),
                        HostAndPort.fromParts("10.0.0." + number, 81),
                        number == 0 ? 1 : 2))
                .collect(ImmutableList.toImmutableList());
    }
}
