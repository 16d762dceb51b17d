package org.cowslippick.standin.site;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.entry.daemon.Entry;
import org.cowslippick.fleet.platform.HttpPlatform;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.settings.SettingsProposal;
import org.cowslippick.fleet.settings.SettingsRejection;
import org.cowslippick.fleet.settings.SettingsStore;
import org.cowslippick.standin.platform.StandinPlatform;

/** The stand-in platform of a site, with the settings and the instance list of that site. */
public final class SitePlatform implements AutoCloseable {

    private static final String PEER_KEY = "site-peer-key-of-at-least-32-characters";
    private static final int PLATFORM_CALLS_PER_SECOND = 200;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READY_POLL_PERIOD = Duration.ofMillis(20);

    private final TimerService timer;
    private final StandinPlatform platform;
    private final HttpPlatform client;

    /** Starts the platform on a free loopback port. */
    public SitePlatform(TimerService timer) {
        this.timer = timer;
        this.platform = StandinPlatform.start(timer);
        this.client = HttpPlatform.standalone(platform.address(), timer);
    }

    /** Returns the platform, for instance to inject faults. */
    public StandinPlatform platform() {
        return platform;
    }

    /** Commits the initial settings of the site. */
    public void commit(SettingsTree tree) {
        Either<SettingsRejection, Long> committed = new SettingsStore(client, timer)
                .commit(new SettingsProposal(0, tree.document(), "site"))
                .join();
        committed.getOrElseThrow(rejection -> new IllegalStateException(rejection.toString()));
    }

    /** Returns the settings of an entry on free loopback ports. */
    public EntrySettings entrySettings(String name, FailureDomain failureDomain) {
        String ini = "[entry]\nname = " + name + "\nfailure-domain = " + failureDomain.name() + "\nregion = "
                + failureDomain.region() + "\ncaller-address = " + freeAddress() + "\npeer-address = " + freeAddress()
                + "\n[platform]\naddress = 127.0.0.1:" + platform.port() + "\ncalls-per-second = "
                + PLATFORM_CALLS_PER_SECOND + "\n[peers]\nkeys = " + PEER_KEY + "\n";
        return EntrySettings.parse(ini).getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
    }

    /** Replaces the instance list of the platform by the entries. */
    public void setEntries(ImmutableList<EntrySettings> entries) {
        platform.setInstances(entries.stream()
                .map(entry -> new ListedInstance(entry.instance(), ListedInstance.State.LIVE))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Waits until every entry has settings and sees all other entries as members. */
    public void awaitReady(ImmutableList<Entry> entries) {
        CompletableFuture<Boolean> ready = new CompletableFuture<>();
        TimerService.Subscription polling = timer.scheduleWithFixedDelay(READY_POLL_PERIOD, () -> {
            if (entries.stream()
                    .allMatch(entry -> entry.settingsRevision() > 0 && entry.memberCount() == entries.size())) {
                ready.complete(true);
            }
        });
        try {
            ready.orTimeout(READY_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
        } finally {
            polling.cancel();
        }
    }

    @Override
    public void close() {
        client.close();
        platform.close();
    }

    private static HostAndPort freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return HostAndPort.fromParts("127.0.0.1", socket.getLocalPort());
        } catch (IOException failure) {
            throw new UncheckedIOException("no free loopback port", failure);
        }
    }
}
