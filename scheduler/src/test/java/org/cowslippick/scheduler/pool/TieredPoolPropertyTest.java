package org.cowslippick.scheduler.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;

/** Checks the invariants of a pool over random histories. */
class TieredPoolPropertyTest {

    private static final int STEPS = 400;
    private static final int ENDPOINTS = 3;
    private static final int CONCURRENCY = 2;
    private static final PoolSettings SETTINGS =
            new PoolSettings(8, Samples.SECOND, 8, 58_000_000L, 50_000_000L, 0.2, 0.1);

    @Property(seed = "1", tries = 150)
    void keepsItsInvariantsOverRandomHistories(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PoolHarness harness = new PoolHarness(new TieredPool(seed, SETTINGS), ENDPOINTS, CONCURRENCY);
        IntStream.range(0, STEPS).forEach(step -> {
            act(harness, random, step);
            assertEquals(0, harness.shedInversions(), "a higher tier was shed before a lower one");
        });
        check(harness);
        drain(harness);
        check(harness);
    }

    @Property(seed = "2", tries = 50)
    void isDeterministic(@ForAll long seed) {
        assertEquals(history(seed), history(seed));
    }

    private static ImmutableList<Grant> history(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PoolHarness harness = new PoolHarness(new TieredPool(seed, SETTINGS), ENDPOINTS, CONCURRENCY);
        IntStream.range(0, STEPS).forEach(step -> act(harness, random, step));
        return harness.grants();
    }

    private static void act(PoolHarness harness, SplittableRandom random, int step) {
        harness.advance(random.nextLong(20 * Samples.MILLISECOND));
        if (random.nextInt(3) > 0) {
            harness.offer(randomRequest(harness, random, step));
        } else if (!harness.running().isEmpty()) {
            Grant grant = harness.running().get(random.nextInt(harness.running().size()));
            harness.report(grant, randomPhase(random));
        }
        if (random.nextInt(20) == 0 && !harness.waiting().isEmpty()) {
            harness.withdraw(harness.waiting().get(0).id());
        }
    }

    private static RequestDescriptor randomRequest(PoolHarness harness, SplittableRandom random, int step) {
        DispatchRule rule = DispatchRule.values()[random.nextInt(3)];
        return Samples.request(
                "r" + step,
                random.nextInt(4),
                rule,
                harness.nowNanos(),
                "o" + random.nextInt(3),
                random.nextLong(4 * Samples.SECOND),
                1 + random.nextInt(2000),
                random.nextInt(400));
    }

    private static DispatchPhase randomPhase(SplittableRandom random) {
        return random.nextInt(3) > 0
                ? DispatchPhase.FINISHED
                : DispatchPhase.values()[random.nextInt(DispatchPhase.values().length)];
    }

    private static void check(PoolHarness harness) {
        assertEquals(0, harness.shedInversions(), "a higher tier was shed before a lower one");
        harness.grants().stream()
                .collect(Collectors.groupingBy(Grant::request))
                .forEach((id, grants) -> checkAttempts(harness, id, grants));
        harness.refusals().stream()
                .collect(Collectors.groupingBy(Refusal::request))
                .forEach((id, refusals) -> assertEquals(1, refusals.size(), "refusals of " + id));
        harness.running().stream()
                .collect(Collectors.groupingBy(Grant::endpoint, Collectors.counting()))
                .forEach((endpoint, count) -> assertTrue(count <= 2 * CONCURRENCY, endpoint + " runs " + count));
    }

    private static void checkAttempts(PoolHarness harness, RequestId id, List<Grant> grants) {
        DispatchRule rule = harness.descriptor(id).dispatchRule();
        if (rule == DispatchRule.DISPATCH_ONCE) {
            assertTrue(grants.size() <= 1 + harness.notSent(id), "dispatches of " + id);
        }
        if (rule != DispatchRule.IDEMPOTENT) {
            assertTrue(grants.stream().noneMatch(grant -> grant.reason() == Grant.Reason.HEDGE));
            assertTrue(grants.size() <= 1 + harness.provablyNotStarted(id), "grants of " + id);
        }
        assertEquals(
                grants.size(),
                grants.stream().map(Grant::attempt).collect(Collectors.toSet()).size(),
                "attempt numbers of " + id + " must differ");
    }

    /** Checks that without further arrivals every request is answered or refused and the pool drains. */
    private static void drain(PoolHarness harness) {
        IntStream.range(0, 4 * STEPS).forEach(_step -> {
            harness.advance(5 * Samples.MILLISECOND);
            harness.running().stream().findFirst().ifPresent(grant -> harness.report(grant, DispatchPhase.FINISHED));
        });
        assertEquals(
                List.of(), harness.waiting().stream().map(Function.identity()).toList());
        assertEquals(ImmutableList.of(), harness.running());
    }
}
