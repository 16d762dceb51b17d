package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Collections;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.claim.ClaimIdentity;
import org.cowslippick.fleet.claim.PartitionState;
import org.cowslippick.fleet.claim.StoredClaim;
import org.cowslippick.scheduler.pool.PoolScheduler;

/**
 * Measures the costs of one more request, organisation, engine, peer, claim and settings change, and the heap that the
 * state of a complete fleet takes.
 */
final class SlopesBench {

    private static final int FLEET_ORGANISATIONS = 23_000;
    private static final int FLEET_ENGINES = 1_900;
    private static final int FLEET_ENTRIES = 390;
    private static final double MAXIMUM_STATE_MEGABYTES = 32;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final ImmutableList<Integer> ORGANISATIONS = ImmutableList.of(1_000, 5_000, 10_000, 23_000);
    private static final ImmutableList<Integer> ENGINES = ImmutableList.of(30, 300, 900, 1_900);
    private static final ImmutableList<Integer> PEERS = ImmutableList.of(50, 100, 200, 390);
    private static final ImmutableList<Integer> QUEUED_REQUESTS = ImmutableList.of(1_000, 2_000, 4_000);
    private static final ImmutableList<Integer> CLAIMS = ImmutableList.of(1_000, 4_000, 16_000);
    private static final int WARM_UP_REQUESTS = 20_000;
    private static final int MEASURED_REQUESTS = 50_000;
    private static final int MEASURED_RUNS = 5;

    private SlopesBench() {}

    static BenchReport run(BenchOptions options) {
        long startNanos = System.nanoTime();
        HeapMeasurement.retainedBytes(
                () -> SyntheticFleet.pools(SyntheticFleet.settings(ORGANISATIONS.get(0), ENGINES.get(0))));
        ImmutableList<Slope> slopes = slopes();
        double megabytes = HeapMeasurement.retainedBytes(SlopesBench::completeState) / BYTES_PER_MEGABYTE;
        return new BenchReport(
                "slopes",
                options.seed(),
                (System.nanoTime() - startNanos) / 1e9,
                ENGINES.size() * MEASURED_REQUESTS,
                ImmutableList.of(BenchReport.Row.withoutNaive(
                        "state_heap_megabytes", "MB", megabytes, Target.atMost(MAXIMUM_STATE_MEGABYTES))),
                ImmutableList.of(),
                ImmutableList.of(),
                slopes);
    }

    private static ImmutableList<Slope> slopes() {
        return ImmutableList.of(
                slope(
                        "settings_heap",
                        "bytes",
                        "organisation",
                        ORGANISATIONS,
                        size -> HeapMeasurement.retainedBytes(() -> SyntheticFleet.settings(size, 0))),
                slope("settings_text", "bytes", "organisation", ORGANISATIONS, size -> SyntheticFleet.settingsText(
                                size, 0)
                        .getBytes(StandardCharsets.UTF_8)
                        .length),
                slope("settings_load_processor", "ms", "organisation", ORGANISATIONS, SlopesBench::loadMilliseconds),
                slope(
                        "settings_change_processor",
                        "ms",
                        "organisation",
                        ORGANISATIONS,
                        SlopesBench::changeMilliseconds),
                slope(
                        "settings_heap",
                        "bytes",
                        "engine",
                        ENGINES,
                        size -> HeapMeasurement.retainedBytes(() -> SyntheticFleet.settings(10, size))),
                slope("pool_heap", "bytes", "engine", ENGINES, size -> poolBytes(endpoints(size))),
                slope(
                        "instance_heap",
                        "bytes",
                        "peer",
                        PEERS,
                        size -> HeapMeasurement.retainedBytes(() -> SyntheticFleet.members(size))),
                slope(
                        "claims_heap",
                        "bytes",
                        "claim",
                        CLAIMS,
                        size -> HeapMeasurement.retainedBytes(() -> claims(size))),
                slope("queued_request_heap", "bytes", "request", QUEUED_REQUESTS, SlopesBench::queuedBytes),
                slope("decisions_processor_per_request", "ns", "engine", ENGINES, SlopesBench::decisionNanos));
    }

    private static Slope slope(
            String measure, String unit, String item, ImmutableList<Integer> sizes, ToDoubleFunction<Integer> value) {
        return Slope.fit(
                measure,
                unit,
                item,
                sizes,
                sizes.stream().map(value::applyAsDouble).collect(ImmutableList.toImmutableList()));
    }

    /** Returns the state of an entry that owns all pools and knows all settings and members. */
    private static Object completeState() {
        SettingsTree settings = SyntheticFleet.settings(FLEET_ORGANISATIONS, FLEET_ENGINES);
        return ImmutableList.of(settings, SyntheticFleet.members(FLEET_ENTRIES), SyntheticFleet.pools(settings));
    }

    private static PartitionState claims(int count) {
        OrganisationName organisation = new OrganisationName("organisation-1");
        return new PartitionState(IntStream.range(0, count)
                .boxed()
                .collect(ImmutableMap.toImmutableMap(
                        number -> ClaimIdentity.of(new IdempotencyKey(organisation, "key-" + number)),
                        _number -> new StoredClaim(RequestId.random(), Instant.EPOCH))));
    }

    private static ImmutableList<Endpoint> endpoints(int count) {
        return SyntheticFleet.settings(0, count).endpoints();
    }

    private static double poolBytes(ImmutableList<Endpoint> endpoints) {
        return HeapMeasurement.retainedBytes(() -> SyntheticFleet.pool(endpoints));
    }

    private static double queuedBytes(int count) {
        PoolScheduler pool = SyntheticFleet.pool(endpoints(1));
        return HeapMeasurement.retainedBytes(() -> {
            new DecisionLoad(pool).offer(count);
            return pool;
        });
    }

    private static double decisionNanos(int engines) {
        DecisionLoad load = new DecisionLoad(SyntheticFleet.pool(endpoints(engines)));
        load.nanosPerRequest(WARM_UP_REQUESTS);
        return load.nanosPerRequest(MEASURED_REQUESTS);
    }

    private static double loadMilliseconds(int organisations) {
        String text = SyntheticFleet.settingsText(organisations, 0);
        SyntheticFleet.settings(organisations, 0);
        return processorMilliseconds(() -> SettingsTree.parse(text).get());
    }

    /** Measures the change of one value in a parsed document, which rebuilds and validates the complete tree. */
    private static double changeMilliseconds(int organisations) {
        SettingsDocument document = SyntheticFleet.settings(organisations, 0).document();
        SectionName section = SectionName.organisation(new OrganisationName("organisation-7"));
        return processorMilliseconds(() -> SettingsTree.of(document.with(section, SettingKey.DEADLINE, "30s"))
                .get());
    }

    /** Returns the mean processor time of several runs after one warm-up run. */
    private static double processorMilliseconds(Runnable task) {
        task.run();
        long cpuNanosBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        Collections.nCopies(MEASURED_RUNS, task).forEach(Runnable::run);
        long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNanosBefore;
        return cpuNanos / NANOS_PER_MILLISECOND / MEASURED_RUNS;
    }
}
