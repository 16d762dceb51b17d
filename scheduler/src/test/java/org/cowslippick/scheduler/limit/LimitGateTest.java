package org.cowslippick.scheduler.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.settings.ResolvedSetting;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.scheduler.pool.Samples;
import org.junit.jupiter.api.Test;

/** Compares several entries that share one limit with a single token bucket that sees every request. */
class LimitGateTest {

    private static final int ENTRIES = 8;
    private static final double RATE = 100;
    private static final long STEP_NANOS = 2 * Samples.MILLISECOND;
    private static final int STEPS = 15_000;
    private static final int STEPS_PER_ALLOCATION = 250;
    private static final double MAXIMUM_ERROR = 0.05;
    private static final SectionName SCOPE = SectionName.organisation(new OrganisationName("portalia"));
    private static final Limits BY_RATE = limits(SettingKey.REQUESTS_PER_SECOND, Double.toString(RATE));
    private static final Limits BY_CONCURRENCY = limits(SettingKey.REQUESTS_AT_ONCE, "12");

    @Property(seed = "1", tries = 5)
    void admitsWithinFivePercentOfOneBucketWhileDemandMoves(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LimitGate> gates = gates();
        TokenBucket single = new TokenBucket(RATE, RATE / 4, 0);
        int admitted = 0;
        int singleAdmitted = 0;
        for (int step = 0; step < STEPS; step++) {
            long now = step * STEP_NANOS;
            allocateAt(step, gates);
            int busiest = step / 2_000 % ENTRIES;
            int entry = random.nextInt(3) > 0 ? busiest : random.nextInt(ENTRIES);
            if (gates.get(entry).tryAdmit(ImmutableList.of(BY_RATE), 1, now).isEmpty()) {
                admitted++;
                gates.get(entry).release(ImmutableList.of(BY_RATE));
            }
            singleAdmitted += single.tryTake(1, 0, now) ? 1 : 0;
        }
        assertEquals(1, admitted / (double) singleAdmitted, MAXIMUM_ERROR);
    }

    @Property(seed = "2", tries = 20)
    void neverExceedsTheConcurrencyLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LimitGate> gates = gates();
        Deque<LimitGate> running = new ArrayDeque<>();
        for (int step = 0; step < 2_000; step++) {
            LimitGate gate = gates.get(random.nextInt(ENTRIES));
            if (gate.tryAdmit(ImmutableList.of(BY_CONCURRENCY), 1, step * STEP_NANOS)
                    .isEmpty()) {
                running.add(gate);
            }
            assertTrue(running.size() <= BY_CONCURRENCY.concurrency().getAsInt());
            if (!running.isEmpty() && random.nextBoolean()) {
                running.poll().release(ImmutableList.of(BY_CONCURRENCY));
            }
        }
    }

    @Property(seed = "3", tries = 200)
    void partitionedEntriesStayWithinTheLimit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int firstGroup = 1 + random.nextInt(ENTRIES - 1);
        ImmutableList<DemandReport> reports = IntStream.range(0, ENTRIES)
                .mapToObj(number -> new DemandReport(
                        entry(number), SCOPE, new Demand(random.nextDouble() * RATE, 0, random.nextInt(20))))
                .collect(ImmutableList.toImmutableList());
        double total = sum(ShareAllocator.allocate(BY_RATE, reports.subList(0, firstGroup), ENTRIES - firstGroup))
                + sum(ShareAllocator.allocate(BY_RATE, reports.subList(firstGroup, ENTRIES), firstGroup));
        assertEquals(1, total, 1e-9);
        assertEquals(1, sum(ShareAllocator.allocate(BY_RATE, reports, 0)), 1e-9);
        double concurrency = ShareAllocator.allocate(BY_CONCURRENCY, reports, 0).stream()
                .mapToDouble(LimitShare::concurrencyShare)
                .sum();
        assertEquals(1, concurrency, 1e-9);
    }

    @Test
    void anExpiredShareIsReplacedByAnEqualShare() {
        LimitGate gate = new LimitGate(entry(0), ENTRIES);
        ImmutableList<Limits> limits = ImmutableList.of(BY_CONCURRENCY);
        assertTrue(gate.tryAdmit(limits, 1, 0).isEmpty());
        gate.apply(new LimitShare(entry(0), SCOPE, 1, 1, 1, ENTRIES), 0);
        assertTrue(gate.tryAdmit(limits, 1, Samples.SECOND).isEmpty());
        Failure refusal = gate.tryAdmit(limits, 1, 5 * Samples.SECOND).orElseThrow();
        assertTrue(refusal.retryAfter().isPresent());
    }

    private static List<LimitGate> gates() {
        return IntStream.range(0, ENTRIES)
                .mapToObj(number -> new LimitGate(entry(number), ENTRIES))
                .toList();
    }

    private static void allocateAt(int step, List<LimitGate> gates) {
        if (step % STEPS_PER_ALLOCATION != 0) {
            return;
        }
        long now = step * STEP_NANOS;
        ImmutableList<DemandReport> reports = IntStream.range(0, ENTRIES)
                .mapToObj(number -> gates.get(number).demand(now).stream()
                        .findFirst()
                        .orElseGet(() -> new DemandReport(entry(number), SCOPE, Demand.NONE)))
                .collect(ImmutableList.toImmutableList());
        ShareAllocator.allocate(BY_RATE, reports, 0)
                .forEach(share ->
                        gates.get(Integer.parseInt(share.entry().value())).apply(share, now));
    }

    private static Limits limits(SettingKey key, String value) {
        return new Limits(SCOPE, ImmutableList.of(new ResolvedSetting(key, value, SCOPE, false)));
    }

    private static double sum(ImmutableList<LimitShare> shares) {
        return shares.stream().mapToDouble(LimitShare::requestRateShare).sum();
    }

    private static InstanceName entry(int number) {
        return new InstanceName(Integer.toString(number));
    }
}
