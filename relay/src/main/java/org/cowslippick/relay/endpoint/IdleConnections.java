package org.cowslippick.relay.endpoint;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.ServiceName;

/**
 * The idle connections of this instance in the order of their last use. The most recently used one to an endpoint is used
 * first, so that those which are not needed expire.
 */
final class IdleConnections {

    private static final int MAXIMUM_PER_ENDPOINT = 8;

    /** An eighth of the smallest limit of file descriptors, 4,100. */
    static final int MAXIMUM_TOTAL = 512;

    private final ToIntFunction<ServiceName> maximumLongLived;
    private final Deque<IdleConnection> connections = new ArrayDeque<>();

    /**
     * Creates an empty pool.
     *
     * @param maximumLongLived the connections to one endpoint of a service that may idle for longer than the default time,
     *     as all instances share the connections that an endpoint accepts
     */
    IdleConnections(ToIntFunction<ServiceName> maximumLongLived) {
        this.maximumLongLived = maximumLongLived;
    }

    /** Adds a connection after its response, or closes it if there are enough. */
    void add(LiveEndpoint endpoint, EndpointConnection connection, long nowNanos) {
        long toEndpoint = to(endpoint.address());
        Duration idle = connection.announcedIdle().orElseGet(KeepAliveTimeout::defaultIdle);
        boolean isLongLived = toEndpoint < maximumLongLived.applyAsInt(endpoint.service());
        Duration allowed = isLongLived || idle.compareTo(KeepAliveTimeout.defaultIdle()) < 0
                ? idle
                : KeepAliveTimeout.defaultIdle();
        if (toEndpoint >= MAXIMUM_PER_ENDPOINT || allowed.isZero()) {
            connection.close();
            return;
        }
        if (connections.size() >= MAXIMUM_TOTAL) {
            connections.pollFirst().connection().close();
        }
        connections.addLast(new IdleConnection(connection, endpoint, nowNanos, nowNanos + allowed.toNanos()));
    }

    private long to(HostAndPort address) {
        return connections.stream()
                .filter(idle -> idle.endpoint().address().equals(address))
                .count();
    }

    /**
     * Removes and returns the most recently used connection to an address. Connections that cannot carry the request are
     * closed; if the most recently used one is not acceptable, the others have idled for longer.
     */
    Optional<IdleConnection> acquire(
            HostAndPort address, String attemptId, Predicate<IdleConnection> isAcceptable, long nowNanos) {
        Iterator<IdleConnection> newestFirst = connections.descendingIterator();
        while (newestFirst.hasNext()) {
            IdleConnection next = newestFirst.next();
            if (!next.endpoint().address().equals(address)) {
                continue;
            }
            if (!next.isUsable(attemptId, nowNanos)) {
                newestFirst.remove();
                next.connection().close();
            } else if (isAcceptable.test(next)) {
                newestFirst.remove();
                return Optional.of(next);
            } else {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    /** The endpoints of a service to which a request may use an idle connection, the most recently used first. */
    ImmutableSet<String> endpoints(
            ServiceName service, Predicate<IdleConnection> isAcceptable, int limit, long nowNanos) {
        return Streams.stream(connections.descendingIterator())
                .filter(idle -> idle.endpoint().service().equals(service))
                .filter(idle -> idle.isAlive(nowNanos) && isAcceptable.test(idle))
                .map(idle -> idle.endpoint().id())
                .distinct()
                .limit(limit)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Closes all connections to an address, as the endpoint has dropped one that was used more recently. */
    void discard(HostAndPort address) {
        closeIf(idle -> idle.endpoint().address().equals(address));
    }

    void evictExpired(long nowNanos) {
        closeIf(idle -> !idle.isAlive(nowNanos));
    }

    int size() {
        return connections.size();
    }

    private void closeIf(Predicate<IdleConnection> condition) {
        connections.removeIf(idle -> {
            boolean isClosed = condition.test(idle);
            if (isClosed) {
                idle.connection().close();
            }
            return isClosed;
        });
    }
}
