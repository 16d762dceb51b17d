package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.SystemTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.entry.daemon.Entry;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.cowslippick.standin.engine.EngineCounters;
import org.cowslippick.standin.engine.EngineFaults;
import org.cowslippick.standin.engine.EngineSpeed;
import org.cowslippick.standin.engine.StandinModelEngine;
import org.cowslippick.standin.site.SitePlatform;

/** Stand-in engines and real entries on loopback addresses, scheduled by one policy. */
final class BenchSite implements AutoCloseable {

    private final SystemTimerService timer;
    private final ImmutableList<StandinModelEngine> engines;
    private final ShedInversions inversions = new ShedInversions();
    private final PoolStatistics poolStatistics = new PoolStatistics();
    private final SitePlatform platform;
    private final ImmutableList<Entry> entries;

    /**
     * The configuration of a site.
     *
     * @param requestsPerSecond request rate limit of each organisation
     */
    record Plan(
            SchedulingPolicy policy,
            int entries,
            ImmutableList<EngineSpeed> engines,
            ImmutableList<OptionalDouble> requestsPerSecond,
            long seed) {

        private static final int ORGANISATIONS = 5;

        /** Returns a plan with one entry, the twelve engines of the benches and no limits. */
        static Plan of(SchedulingPolicy policy, long seed) {
            return new Plan(policy, 1, BenchEngines.speeds(), unlimited(), seed);
        }

        static ImmutableList<OptionalDouble> unlimited() {
            return IntStream.range(0, ORGANISATIONS)
                    .mapToObj(_number -> OptionalDouble.empty())
                    .collect(ImmutableList.toImmutableList());
        }
    }

    BenchSite(Plan plan) {
        this.timer = new SystemTimerService(failure -> {
            throw new IllegalStateException("timer task of a stand-in failed", failure);
        });
        this.engines = IntStream.range(0, plan.engines().size())
                .mapToObj(number -> new StandinModelEngine(
                        "engine-" + number, plan.engines().get(number), timer))
                .collect(ImmutableList.toImmutableList());
        SettingsTree tree = BenchSettings.tree(engineAddresses(), plan.requestsPerSecond());
        this.platform = new SitePlatform(timer);
        platform.commit(tree);
        FailureDomain failureDomain =
                tree.failureDomain(BenchSettings.FAILURE_DOMAIN).orElseThrow();
        ImmutableList<EntrySettings> settings = IntStream.range(0, plan.entries())
                .mapToObj(number -> platform.entrySettings("entry-" + number, failureDomain))
                .collect(ImmutableList.toImmutableList());
        platform.setEntries(settings);
        this.entries = settings.stream().map(entry -> startEntry(entry, plan)).collect(ImmutableList.toImmutableList());
        platform.awaitReady(entries);
    }

    ImmutableList<HostAndPort> entryAddresses() {
        return entries.stream().map(Entry::address).collect(ImmutableList.toImmutableList());
    }

    ImmutableList<HostAndPort> engineAddresses() {
        return engines.stream().map(StandinModelEngine::address).collect(ImmutableList.toImmutableList());
    }

    void slowDown(int engine, double factor) {
        engines.get(engine).setFaults(EngineFaults.slowedBy(factor));
    }

    PoolStatistics.Means poolMeans() {
        return poolStatistics.means();
    }

    ShedInversions inversions() {
        return inversions;
    }

    ImmutableList<EngineCounters> counters() {
        return engines.stream().map(StandinModelEngine::counters).collect(ImmutableList.toImmutableList());
    }

    @Override
    public void close() {
        entries.forEach(Entry::close);
        platform.close();
        engines.forEach(StandinModelEngine::close);
        timer.close();
    }

    private Entry startEntry(EntrySettings settings, Plan plan) {
        return new Entry(
                settings,
                _pool -> new InstrumentedPool(
                        plan.policy().create(plan.seed(), PoolSettings.DEFAULT), inversions, poolStatistics));
    }
}
