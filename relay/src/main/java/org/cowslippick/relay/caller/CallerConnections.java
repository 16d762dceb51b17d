package org.cowslippick.relay.caller;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.function.Supplier;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.message.RequestReader;

/** All open connections of callers, checked for those that take too long. */
public final class CallerConnections {

    private static final Duration CHECK_PERIOD = Duration.ofMillis(250);

    /** Unread bodies are held in memory up to this size over all connections. */
    private static final long MAXIMUM_BODY_BYTES = 48L << 20;

    private final Set<CallerConnection> open = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Supplier<CallerLimits> limits;
    private final TimerService timer;
    private final RequestReader reader;
    private final RequestHandler handler;
    private boolean draining;
    private long bodyBytes;

    /** Starts to check; all calls come from the event loop of the timer. */
    public CallerConnections(
            Supplier<CallerLimits> limits, TimerService timer, RequestReader reader, RequestHandler handler) {
        this.limits = limits;
        this.timer = timer;
        this.reader = reader;
        this.handler = handler;
        timer.every(CHECK_PERIOD, this::check);
    }

    /** From now on each answer closes its connection. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections on which no request is in progress. */
    public void closeIdle() {
        ImmutableList.copyOf(open).forEach(CallerConnection::closeIfIdle);
    }

    /** How many connections have a request in progress. */
    public long busyCount() {
        return open.stream().filter(CallerConnection::isBusy).count();
    }

    public int size() {
        return open.size();
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

    RequestReader reader() {
        return reader;
    }

    RequestHandler handler() {
        return handler;
    }

    void register(CallerConnection connection) {
        open.add(connection);
    }

    void unregister(CallerConnection connection) {
        open.remove(connection);
    }

    /** Takes room for bytes of a body; false if there is none. */
    boolean tryReserve(int bytes) {
        if (bodyBytes + bytes > MAXIMUM_BODY_BYTES) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    void release(int bytes) {
        bodyBytes -= bytes;
    }

    private void check() {
        long now = timer.nanoTime();
        ImmutableList.copyOf(open).forEach(connection -> connection.enforceTimeouts(now));
    }
}
