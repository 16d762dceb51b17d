package org.cowslippick.relay.peer;

import com.google.common.collect.Comparators;
import java.time.Duration;

/** How often instances report to each other, and when a report is overdue, by the number of other instances. */
final class ReportSchedule {

    /** Up to this many peers, direct reports cost less than aggregated ones and arrive sooner. */
    static final int MAXIMUM_DIRECT_PEERS = 12;

    private static final Duration DIRECT_PERIOD = Duration.ofMillis(100);

    /**
     * The report period of a fleet with collectors, and its growth for every 128 instances, so that a collector's cost
     * grows more slowly than the fleet.
     */
    private static final Duration COLLECTED_PERIOD = Duration.ofMillis(250);

    private static final int INSTANCES_PER_PERIOD_STEP = 128;
    private static final int TIMEOUT_PERIODS = 3;
    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(800);
    private static final Duration MINIMUM_COLLECTOR_TIMEOUT = Duration.ofMillis(1200);

    private ReportSchedule() {}

    static boolean usesCollectors(int others) {
        return others > MAXIMUM_DIRECT_PEERS;
    }

    static Duration period(int others) {
        return usesCollectors(others)
                ? COLLECTED_PERIOD.multipliedBy(1 + others / INSTANCES_PER_PERIOD_STEP)
                : DIRECT_PERIOD;
    }

    /** The age from which an instance's report no longer counts. */
    static Duration timeout(int others) {
        return Comparators.max(MINIMUM_TIMEOUT, period(others).multipliedBy(TIMEOUT_PERIODS));
    }

    /** The time without a report after which another collector is selected. */
    static Duration collectorTimeout(int others) {
        return Comparators.max(MINIMUM_COLLECTOR_TIMEOUT, timeout(others));
    }
}
