package org.cowslippick.relay.process;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.caller.CallerConnections;
import org.cowslippick.relay.forwarding.RequestForwarder;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * The steps between SIGTERM and the exit of the process. Requests are admitted for a while, as callers use cached
 * addresses; then what has been admitted gets the rest of the grace period.
 */
public final class GracefulShutdown {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.daemon");

    /**
     * A request that is sent later than 3 s after SIGTERM must not be cut. Half a second is for the delays of the signal
     * and of the event loop, by which this process counts from later than its callers.
     */
    private static final Duration LONGEST_ADMISSION = Duration.ofMillis(2_500);

    /** Part of the grace period after which requests are refused, if it is short. */
    private static final double ADMISSION_PER_GRACE = 0.5;

    /** Part of the grace period after which a request that still waits for a slot is refused. */
    private static final double DISPATCH_PER_GRACE = 2.0 / 3;

    /** Before the end of the grace period, requests in progress get a response. */
    private static final Duration TERMINATION_RESERVE = Duration.ofMillis(500);

    /** Part of the grace period that is reserved for the exit of the process itself. */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(300);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

    private final TimerService timer;
    private final CallerConnections callers;
    private final RequestForwarder forwarder;
    private final CountDownLatch drained = new CountDownLatch(1);

    public GracefulShutdown(TimerService timer, CallerConnections callers, RequestForwarder forwarder) {
        this.timer = timer;
        this.callers = callers;
        this.forwarder = forwarder;
    }

    /**
     * Starts the steps; must be called on the event loop.
     *
     * @param signalledAtNanos the start of the grace period
     * @param onAdmissionEnd stops accepting connections
     */
    public void start(long signalledAtNanos, Duration grace, Runnable onAdmissionEnd) {
        callers.drain();
        Duration admission = Comparators.min(LONGEST_ADMISSION, part(grace, ADMISSION_PER_GRACE));
        forwarder.admitUntil(signalledAtNanos + admission.toNanos());
        schedule(signalledAtNanos, admission, () -> endAdmission(onAdmissionEnd));
        schedule(
                signalledAtNanos,
                part(grace, DISPATCH_PER_GRACE),
                () -> timer.scheduleWithFixedDelay(CHECK_PERIOD, callers::refuseWaiting));
        schedule(signalledAtNanos, grace.minus(TERMINATION_RESERVE), this::terminate);
    }

    private static Duration part(Duration grace, double share) {
        return Duration.ofMillis((long) (grace.toMillis() * share));
    }

    private void schedule(long startNanos, Duration delay, Runnable step) {
        timer.schedule(delay.minusNanos(timer.nanoTime() - startNanos), step);
    }

    private void endAdmission(Runnable onAdmissionEnd) {
        LOGGER.info(LogLine.of("admission-ended").with("busy", callers.busyCount()));
        onAdmissionEnd.run();
        checkDrained();
        timer.scheduleWithFixedDelay(CHECK_PERIOD, this::checkDrained);
    }

    /** Waits until all responses are written, or until the process has to exit; returns whether they are. */
    public boolean await(Duration grace) throws InterruptedException {
        return drained.await(grace.minus(EXIT_RESERVE).toMillis(), TimeUnit.MILLISECONDS);
    }

    private void terminate() {
        LOGGER.info(LogLine.of("requests-terminated").with("busy", callers.busyCount()));
        callers.terminate();
    }

    private void checkDrained() {
        callers.closeIdle();
        if (callers.busyCount() == 0) {
            drained.countDown();
        }
    }
}
