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

/** What one more request, organisation, engine, peer and settings change costs, and the state of a whole fleet. */
final class SlopesBench {

    private static final int FLEET_ORGANISATIONS = 23_000;
    private static final int FLEET_ENGINES = 1_900;
    private static final int FLEET_ENTRIES = 390;
    private static final double STATE_MEGABYTES = 32;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final ImmutableList<Integer> ORGANISATIONS = ImmutableList.of(1_000, 5_000, 10_000, 23_000);
    private static final ImmutableList<Integer> ENGINES = ImmutableList.of(30, 300, 900, 1_900);
    private static final ImmutableList<Integer> PEERS = ImmutableList.of(50, 100, 200, 390);
    private static final ImmutableList<Integer> QUEUED = ImmutableList.of(1_000, 2_000, 4_000);
    private static final ImmutableList<Integer> CLAIMS = ImmutableList.of(1_000, 4_000, 16_000);
    private static final int WARM_UP_REQUESTS = 20_000;
    private static final int MEASURED_REQUESTS = 50_000;
    private static final int CHANGES = 5;

    private SlopesBench() {}

    static BenchReport run(BenchOptions options) {
        long startNanos = System.nanoTime();
        HeapGauge.bytes(() -> FleetState.pools(FleetState.settings(ORGANISATIONS.get(0), ENGINES.get(0))));
        ImmutableList<Slope> slopes = slopes();
        double megabytes = HeapGauge.bytes(SlopesBench::wholeState) / BYTES_PER_MEGABYTE;
        return new BenchReport(
                "slopes",
                options.seed(),
                (System.nanoTime() - startNanos) / 1e9,
                ENGINES.size() * MEASURED_REQUESTS,
                ImmutableList.of(
                        BenchReport.Row.alone("state_heap_megabytes", "MB", megabytes, Target.atMost(STATE_MEGABYTES))),
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
                        size -> HeapGauge.bytes(() -> FleetState.settings(size, 0))),
                slope("settings_text", "bytes", "organisation", ORGANISATIONS, size -> FleetState.settingsText(size, 0)
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
                        size -> HeapGauge.bytes(() -> FleetState.settings(10, size))),
                slope("pool_heap", "bytes", "engine", ENGINES, size -> poolBytes(endpoints(size))),
                slope("instance_heap", "bytes", "peer", PEERS, size -> HeapGauge.bytes(() -> FleetState.members(size))),
                slope("claims_heap", "bytes", "claim", CLAIMS, size -> HeapGauge.bytes(() -> claims(size))),
                slope("queued_request_heap", "bytes", "request", QUEUED, SlopesBench::queuedBytes),
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

    /** What every entry would hold if it owned all pools and knew all settings and members. */
    private static Object wholeState() {
        SettingsTree settings = FleetState.settings(FLEET_ORGANISATIONS, FLEET_ENGINES);
        return ImmutableList.of(settings, FleetState.members(FLEET_ENTRIES), FleetState.pools(settings));
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
        return FleetState.settings(0, count).endpoints();
    }

    private static double poolBytes(ImmutableList<Endpoint> endpoints) {
        return HeapGauge.bytes(() -> FleetState.pool(endpoints));
    }

    private static double queuedBytes(int count) {
        PoolScheduler pool = FleetState.pool(endpoints(1));
        return HeapGauge.bytes(() -> {
            new DecisionLoad(pool).offer(count);
            return pool;
        });
    }

    private static double decisionNanos(int engines) {
        DecisionLoad load = new DecisionLoad(FleetState.pool(endpoints(engines)));
        load.nanosPerRequest(WARM_UP_REQUESTS);
        return load.nanosPerRequest(MEASURED_REQUESTS);
    }

    private static double loadMilliseconds(int organisations) {
        String text = FleetState.settingsText(organisations, 0);
        FleetState.settings(organisations, 0);
        return processorMilliseconds(() -> SettingsTree.parse(text).get());
    }

    /** One changed value in a document that is already read: the new tree is built and checked as a whole. */
    private static double changeMilliseconds(int organisations) {
        SettingsDocument document = FleetState.settings(organisations, 0).document();
        SectionName section = SectionName.organisation(new OrganisationName("organisation-7"));
        return processorMilliseconds(() -> SettingsTree.of(document.with(section, SettingKey.DEADLINE, "30s"))
                .get());
    }

    /** The mean of several runs, after one that warms up. */
    private static double processorMilliseconds(Runnable task) {
        task.run();
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        Collections.nCopies(CHANGES, task).forEach(Runnable::run);
        long spent = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
        return spent / NANOS_PER_MILLISECOND / CHANGES;
    }
}
