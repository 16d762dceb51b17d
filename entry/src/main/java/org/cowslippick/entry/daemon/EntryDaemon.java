package org.cowslippick.entry.daemon;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.entry.log.LogSetup;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.jboss.logging.Logger;

/** An entry as a process of its own, which drains when it is told to end. */
public final class EntryDaemon {

    private static final Logger LOG = Logger.getLogger("cowslippick.daemon");
    private static final Duration DRAIN_LIMIT = Duration.ofMinutes(30);

    private final Entry entry;

    private EntryDaemon(Entry entry) {
        this.entry = entry;
    }

    /** Starts the entry and returns when it has drained, by SIGTERM or by an operator. */
    // The server stops only after the entry has drained, which its own hook would not wait for.
    @SuppressWarnings("ShutdownHook")
    public static void run(EntrySettings settings) {
        LogSetup.install(settings.logLevel());
        EntryDaemon daemon = new EntryDaemon(new Entry(
                settings, pool -> SchedulingPolicy.TIERED.create(pool.toString().hashCode(), PoolSettings.DEFAULT)));
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::terminated, "cowslippick-shutdown"));
        daemon.entry.drained().join();
        daemon.entry.close();
    }

    /** Drains before the process ends, and ends it with success: a termination that was asked for is no failure. */
    private void terminated() {
        entry.drain();
        awaitDrained();
        LOG.infof("stopped");
        Runtime.getRuntime().halt(0);
    }

    private void awaitDrained() {
        try {
            entry.drained().get(DRAIN_LIMIT.toSeconds(), TimeUnit.SECONDS);
        } catch (TimeoutException late) {
            LOG.warnf("drain took longer than limit=%s", DRAIN_LIMIT);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException failure) {
            LOG.error("drain failed", failure);
        }
    }
}
