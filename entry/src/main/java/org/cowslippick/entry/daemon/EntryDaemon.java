package org.cowslippick.entry.daemon;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.entry.log.LogSetup;
import org.cowslippick.fleet.process.SignalHandlers;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.jboss.logging.Logger;

/** The entry as a process of its own, which drains on SIGTERM before it exits and goes on serving on SIGHUP. */
public final class EntryDaemon {

    private static final Logger LOG = Logger.getLogger("cowslippick.daemon");
    private static final String HANG_UP_SIGNAL = "HUP";
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(30);

    private final Entry entry;

    private EntryDaemon(Entry entry) {
        this.entry = entry;
    }

    /** Starts the entry and returns once it has drained, whether on SIGTERM or on an operator's request. */
    // The HTTP server has to keep serving until the entry has drained; its own shutdown hook would not wait for that.
    @SuppressWarnings("ShutdownHook")
    public static void run(EntrySettings settings) {
        SignalHandlers.handle(HANG_UP_SIGNAL, EntryDaemon::logHangUp);
        LogSetup.install(settings.logLevel());
        EntryDaemon daemon = new EntryDaemon(new Entry(
                settings, pool -> SchedulingPolicy.TIERED.create(pool.toString().hashCode(), PoolSettings.DEFAULT)));
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::drainAndHalt, "cowslippick-shutdown"));
        daemon.entry.drained().join();
        daemon.entry.close();
    }

    /** The JVM would exit. The settings tree is in force without a signal, and the settings file needs a restart. */
    private static void logHangUp() {
        LOG.infof("settings file not read again; a change of it needs a restart signal=SIGHUP");
    }

    /** Drains the entry and exits with status 0, because a requested termination is not a failure. */
    private void drainAndHalt() {
        entry.drain();
        awaitDrained();
        LOG.infof("stopped");
        Runtime.getRuntime().halt(0);
    }

    private void awaitDrained() {
        try {
            entry.drained().get(DRAIN_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (TimeoutException timeout) {
            LOG.warnf("drain took longer than limit=%s", DRAIN_TIMEOUT);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException failure) {
            LOG.error("drain failed", failure);
        }
    }
}
