package org.cowslippick.standin.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.SystemTimerService;
import org.cowslippick.entry.daemon.Entry;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.cowslippick.standin.application.StandinApplication;
import org.cowslippick.standin.engine.EngineSpeed;
import org.cowslippick.standin.engine.StandinModelEngine;
import org.cowslippick.standin.site.SitePlatform;

/** Three engines of different speeds, an application and three entries, in three failure domains and two regions. */
final class DemoSite implements AutoCloseable {

    private static final EngineSpeed BASE_SPEED = new EngineSpeed(10_000_000L, 500_000L, 8000, 16, 512);
    private static final ImmutableList<Double> SPEED_FACTORS = ImmutableList.of(1.0, 0.5, 2.0);
    private static final Duration BOOKING_DURATION = Duration.ofMillis(30);

    private final SystemTimerService timer;
    private final ImmutableList<StandinModelEngine> engines;
    private final StandinApplication application;
    private final SitePlatform platform;
    private final ImmutableList<Entry> entries;

    DemoSite() {
        this.timer = new SystemTimerService(failure -> {
            throw new IllegalStateException("timer task of a stand-in failed", failure);
        });
        this.engines = SPEED_FACTORS.stream()
                .map(factor -> new StandinModelEngine("engine x" + factor, BASE_SPEED.scaledBy(factor), timer))
                .collect(ImmutableList.toImmutableList());
        this.application = new StandinApplication(BOOKING_DURATION, timer);
        SettingsTree tree = DemoSettings.tree(
                engines.stream().map(StandinModelEngine::address).collect(ImmutableList.toImmutableList()),
                application.address());
        this.platform = new SitePlatform(timer);
        platform.commit(tree);
        ImmutableList<EntrySettings> settings = DemoSettings.FAILURE_DOMAINS.stream()
                .map(name -> platform.entrySettings(
                        "entry-" + name, tree.failureDomain(name).orElseThrow()))
                .collect(ImmutableList.toImmutableList());
        platform.setEntries(settings);
        this.entries = settings.stream().map(DemoSite::startEntry).collect(ImmutableList.toImmutableList());
        platform.awaitReady(entries);
    }

    ImmutableList<HostAndPort> entryAddresses() {
        return entries.stream().map(Entry::address).collect(ImmutableList.toImmutableList());
    }

    StandinApplication application() {
        return application;
    }

    HostAndPort platformAddress() {
        return HostAndPort.fromParts("127.0.0.1", platform.platform().port());
    }

    @Override
    public void close() {
        entries.forEach(Entry::close);
        engines.forEach(StandinModelEngine::close);
        application.close();
        platform.close();
        timer.close();
    }

    private static Entry startEntry(EntrySettings settings) {
        return new Entry(
                settings, pool -> SchedulingPolicy.TIERED.create(pool.toString().hashCode(), PoolSettings.DEFAULT));
    }
}
