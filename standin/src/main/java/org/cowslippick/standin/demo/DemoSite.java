package org.cowslippick.standin.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Map;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.SystemTimerService;
import org.cowslippick.entry.daemon.Entry;
import org.cowslippick.scheduler.pool.LeastRequestPool;
import org.cowslippick.standin.application.StandinApplication;
import org.cowslippick.standin.engine.EngineSpeed;
import org.cowslippick.standin.engine.StandinModelEngine;

/** Three unlike engines, an application and three entries in three failure domains and two regions. */
final class DemoSite implements AutoCloseable {

    private static final EngineSpeed SPEED = new EngineSpeed(10_000_000L, 500_000L, 8000, 16, 512);
    private static final ImmutableList<Double> UNLIKE = ImmutableList.of(1.0, 0.5, 2.0);
    private static final Duration BOOKING_TIME = Duration.ofMillis(30);
    private static final Map<String, String> REGIONS = Map.of("west-a", "west", "west-b", "west", "east-a", "east");

    private final SystemTimerService timer;
    private final ImmutableList<StandinModelEngine> engines;
    private final StandinApplication application;
    private final ImmutableList<Entry> entries;

    DemoSite() {
        this.timer = new SystemTimerService(failure -> {
            throw new IllegalStateException("a stand-in failed", failure);
        });
        this.engines = UNLIKE.stream()
                .map(factor -> new StandinModelEngine("engine x" + factor, SPEED.times(factor), timer))
                .collect(ImmutableList.toImmutableList());
        this.application = new StandinApplication(BOOKING_TIME, timer);
        SettingsTree tree = DemoSettings.tree(
                engines.stream().map(StandinModelEngine::address).collect(ImmutableList.toImmutableList()),
                application.address());
        this.entries = DemoSettings.FAILURE_DOMAINS.stream()
                .map(failureDomain -> entry(failureDomain, tree))
                .collect(ImmutableList.toImmutableList());
    }

    ImmutableList<HostAndPort> addresses() {
        return entries.stream().map(Entry::address).collect(ImmutableList.toImmutableList());
    }

    @Override
    public void close() {
        entries.forEach(Entry::close);
        engines.forEach(StandinModelEngine::close);
        application.close();
        timer.close();
    }

    private static Entry entry(String failureDomain, SettingsTree tree) {
        String ini = "[entry]\nname = entry-" + failureDomain + "\nfailure-domain = " + failureDomain + "\nregion = "
                + REGIONS.get(failureDomain)
                + "\ncaller-address = 127.0.0.1:0\npeer-address = 127.0.0.1:0\n"
                + "[platform]\naddress = 127.0.0.1:1\n[peers]\nkeys = demo-peer-key-of-32-characters-000\n";
        EntrySettings settings =
                EntrySettings.parse(ini).getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
        return new Entry(settings, () -> tree, _pool -> new LeastRequestPool(1));
    }
}
