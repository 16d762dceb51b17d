package org.cowslippick.relay.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Quota;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.OrganisationName;
import org.junit.jupiter.api.Test;

class SharedQuotasTest {

    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(Duration.ofSeconds(8), 0.1, 140_000);
    private static final OrganisationAccess ORGANISATION = organisation(50_000);

    private final ManualTimerService timer = new ManualTimerService();
    private final SharedQuotas quotas = new SharedQuotas(timer, TOLERANCE);

    @Test
    void startsWithoutABurst() {
        assertTrue(quotas.tryAcquire(ORGANISATION, 1_000).isPresent());
    }

    @Test
    void fillsFromTheStartOfTheProcessNotFromTheFirstRequest() {
        timer.advance(Duration.ofSeconds(5));
        assertEquals(Optional.empty(), quotas.tryAcquire(ORGANISATION, 40_000));
    }

    @Test
    void countsTheUsageOfOtherInstances() {
        timer.advance(Duration.ofSeconds(5));
        quotas.tryAcquire(ORGANISATION, 1_000);
        quotas.addRemoteUsage(ORGANISATION.name(), 60_000);
        assertTrue(quotas.tryAcquire(ORGANISATION, 1_000).isPresent());
    }

    @Test
    void refundsRequestsThatDidNotRun() {
        timer.advance(Duration.ofSeconds(5));
        quotas.tryAcquire(ORGANISATION, 60_000);
        quotas.refund(ORGANISATION, 60_000);
        assertEquals(Optional.empty(), quotas.tryAcquire(ORGANISATION, 40_000));
        assertEquals(40_000L, quotas.localUsage().get(ORGANISATION.name()));
    }

    /** A single instance under constant overload stays within the tolerance in every window. */
    @Property(tries = 50, seed = "11")
    void staysWithinTheToleranceInEveryWindow(@ForAll long seed) {
        Random random = new Random(seed);
        ManualTimerService clock = new ManualTimerService();
        SharedQuotas alone = new SharedQuotas(clock, TOLERANCE);
        OrganisationAccess organisation = organisation(20_000 + random.nextInt(400_000));
        Quota quota = organisation.quota();
        double allowed = (quota.ratePerSecond() * 8 + quota.burst()) * 1.1 + 140_000;
        List<long[]> taken = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            clock.advance(Duration.ofMillis(10));
            long cost = 200L + random.nextInt(8_000);
            if (alone.tryAcquire(organisation, cost).isEmpty()) {
                taken.add(new long[] {clock.nanoTime(), cost});
            }
            long from = clock.nanoTime() - Duration.ofSeconds(8).toNanos();
            taken.removeIf(entry -> entry[0] < from);
            assertTrue(taken.stream().mapToLong(entry -> entry[1]).sum() <= allowed);
        }
    }

    private static OrganisationAccess organisation(double perSecond) {
        return new OrganisationAccess(
                new OrganisationName("portalia"),
                Optional.empty(),
                new Quota(Quota.Unit.TOKENS, perSecond, perSecond, 200));
    }
}
