package org.cowslippick.relay.endpoint;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.relay.metrics.RelayEvent;

/**
 * Sends one request on a kept connection or on a new one. A request that must not run twice uses a kept connection only with
 * its end held back; if the connection turns out to be dead, the request has not run and goes to a new connection.
 */
final class RequestSender {

    private final ConnectionContext context;
    private final LiveEndpoint endpoint;
    private final Supplier<Optional<Dispatch>> dispatch;
    private final ResponseListener listener;
    private final EndpointConnections.Handle handle;

    RequestSender(
            ConnectionContext context,
            LiveEndpoint endpoint,
            Supplier<Optional<Dispatch>> dispatch,
            ResponseListener listener,
            EndpointConnections.Handle handle) {
        this.context = context;
        this.endpoint = endpoint;
        this.dispatch = dispatch;
        this.listener = listener;
        this.handle = handle;
    }

    void sendRepeatable(String attemptId) {
        Optional<IdleConnection> kept = acquire(attemptId, _idle -> true);
        if (kept.isPresent()) {
            sendOnKept(kept.get());
        } else {
            sendOnNew(listener::connectFailed);
        }
    }

    void sendOnce(String attemptId) {
        Optional<IdleConnection> kept = acquire(attemptId, this::mayHoldBackOn);
        if (kept.isPresent()) {
            beginOn(kept.get().connection());
        } else {
            sendOnNew(listener::connectFailed);
        }
    }

    private boolean mayHoldBackOn(IdleConnection idle) {
        return idle.endpoint().isSameRun(endpoint) && context.holdBacks().allows(idle, nowNanos());
    }

    private Optional<IdleConnection> acquire(String attemptId, Predicate<IdleConnection> acceptable) {
        return context.idle().acquire(endpoint.address(), attemptId, acceptable, nowNanos());
    }

    private void sendOnNew(Consumer<String> onFailure) {
        context.opener()
                .open(
                        endpoint,
                        handle,
                        connection -> send(connection, present -> connection.send(present, listener)),
                        onFailure);
    }

    private void sendOnKept(IdleConnection kept) {
        EndpointConnection connection = kept.connection();
        KeptConnectionListener keptListener =
                new KeptConnectionListener(listener, connection, context.timer(), cause -> lost(kept, cause));
        send(connection, present -> {
            context.events().accept(RelayEvent.CONNECTION_REUSED);
            connection.send(present, keptListener);
        });
    }

    /** Sends what is to be sent now, or closes the connection if the request must not be sent any more. */
    private void send(EndpointConnection connection, Consumer<Dispatch> send) {
        handle.use(connection);
        dispatch.get().ifPresentOrElse(send, connection::close);
    }

    private void beginOn(EndpointConnection connection) {
        HoldBack holdBack =
                new HoldBack(context.timer(), context.monitor()::afterFurtherReading, new HoldBackListener(connection));
        send(connection, present -> connection.hold(present, holdBack));
    }

    /** Sends a request that may be repeated once more, if the endpoint has said that it keeps idle connections. */
    private void lost(IdleConnection kept, String cause) {
        recordDead(RelayEvent.KEPT_CONNECTION_LOST);
        if (kept.isAnnounced()) {
            sendOnNew(_connectCause -> listener.connectionLost(cause));
        } else {
            listener.connectionLost(cause);
        }
    }

    private void recordDead(RelayEvent event) {
        context.events().accept(event);
        context.holdBacks().recordDead(endpoint, nowNanos());
        context.idle().discard(endpoint.address());
    }

    private long nowNanos() {
        return context.timer().nanoTime();
    }

    private final class HoldBackListener implements HoldBack.Listener {

        private final EndpointConnection connection;

        HoldBackListener(EndpointConnection connection) {
            this.connection = connection;
        }

        @Override
        public void proven() {
            if (!connection.isOpen()) {
                refuted();
                return;
            }
            send(connection, present -> {
                context.events().accept(RelayEvent.CONNECTION_REUSED);
                connection.sendHeld(
                        present,
                        new KeptConnectionListener(listener, connection, context.timer(), this::lostAfterLastByte));
            });
        }

        @Override
        public void refuted() {
            recordDead(RelayEvent.KEPT_CONNECTION_DEAD);
            connection.close();
            sendOnNew(listener::connectFailed);
        }

        private void lostAfterLastByte(String cause) {
            recordDead(RelayEvent.KEPT_CONNECTION_LOST);
            listener.connectionLost(cause);
        }
    }
}
