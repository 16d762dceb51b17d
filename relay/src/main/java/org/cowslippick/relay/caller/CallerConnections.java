package org.cowslippick.relay.caller;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.function.Supplier;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.client.ClientMemory;
import org.cowslippick.relay.client.ConnectionLimit;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.time.LoopMonitor;

/** All open connections of callers; closes those that exceed a timeout. */
public final class CallerConnections {

    private static final Duration TIMEOUT_CHECK_PERIOD = Duration.ofMillis(250);

    private final Set<CallerConnection> open = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Supplier<CallerLimits> limits;
    private final TimerService timer;
    private final LoopMonitor monitor;
    private final RequestReader reader;
    private final RequestHandler handler;
    private final ClientMemory clientMemory;
    private final ConnectionLimit connectionLimit;
    private final BodyMemory bodyMemory = new BodyMemory(Runtime.getRuntime().maxMemory());
    private boolean draining;

    /** Starts the periodic timeout check. All methods must be called on the event loop of the timer. */
    public CallerConnections(
            Supplier<CallerLimits> limits,
            TimerService timer,
            LoopMonitor monitor,
            RequestReader reader,
            RequestHandler handler,
            ClientMemory clientMemory,
            ConnectionLimit connectionLimit) {
        this.limits = limits;
        this.timer = timer;
        this.monitor = monitor;
        this.reader = reader;
        this.handler = handler;
        this.clientMemory = clientMemory;
        this.connectionLimit = connectionLimit;
        timer.scheduleWithFixedDelay(TIMEOUT_CHECK_PERIOD, this::checkTimeouts);
    }

    /** From now on, closes each connection after its next response. */
    public void drain() {
        draining = true;
    }

    public void closeIdle() {
        ImmutableList.copyOf(open).forEach(CallerConnection::closeIfIdle);
    }

    /** Ends all requests that have not been sent to an endpoint yet. */
    public void refuseWaiting() {
        ImmutableList.copyOf(open).forEach(CallerConnection::refuseIfWaiting);
    }

    /** Ends all requests, as the process is about to exit. */
    public void terminate() {
        ImmutableList.copyOf(open).forEach(CallerConnection::terminate);
    }

    /** The number of connections with a request in progress. */
    public long busyCount() {
        return open.stream().filter(CallerConnection::isBusy).count();
    }

    public int size() {
        return open.size();
    }

    /** The memory of the bodies of all requests that have not been answered. */
    public long bufferedBytes() {
        return bodyMemory.reservedBytes();
    }

    boolean isDraining() {
        return draining;
    }

    CallerLimits limits() {
        return limits.get();
    }

    TimerService timer() {
        return timer;
    }

    LoopMonitor monitor() {
        return monitor;
    }

    RequestReader reader() {
        return reader;
    }

    BodyMemory bodyMemory() {
        return bodyMemory;
    }

    RequestHandler handler() {
        return handler;
    }

    ClientMemory clientMemory() {
        return clientMemory;
    }

    /** Adds a new connection; returns false if it must be closed, as there are too many. */
    boolean tryRegister(CallerConnection connection) {
        open.add(connection);
        return connectionLimit.tryAdd(connection.meter());
    }

    void unregister(CallerConnection connection) {
        open.remove(connection);
        connectionLimit.remove(connection.meter());
    }

    private void checkTimeouts() {
        long now = timer.nanoTime();
        ImmutableList.copyOf(open).forEach(connection -> connection.enforceTimeouts(now));
    }
}
