package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;

/**
 * Tells the loss of a kept connection that the endpoint had dropped before the request came from a loss of any other kind,
 * such as a crash of the endpoint.
 */
final class KeptConnectionListener implements ResponseListener {

    /** An endpoint that has dropped a connection resets it after a round trip, 60 ms between regions. */
    private static final long DROP_NOTICE_NANOS = Duration.ofMillis(100).toNanos();

    private final ResponseListener listener;
    private final EndpointConnection connection;
    private final TimerService timer;
    private final Consumer<String> onDropped;
    private long sentAtNanos;

    /**
     * Passes everything on to the listener, but for the loss of a dropped connection.
     *
     * @param onDropped receives the cause instead of {@link ResponseListener#connectionLost}
     */
    KeptConnectionListener(
            ResponseListener listener, EndpointConnection connection, TimerService timer, Consumer<String> onDropped) {
        this.listener = listener;
        this.connection = connection;
        this.timer = timer;
        this.onDropped = onDropped;
    }

    @Override
    public void requestSent() {
        sentAtNanos = timer.nanoTime();
        listener.requestSent();
    }

    @Override
    public void connectFailed(String cause) {
        listener.connectFailed(cause);
    }

    @Override
    public void headReceived(HttpResponse head) {
        listener.headReceived(head);
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        listener.bodyReceived(bytes);
    }

    @Override
    public void completed() {
        listener.completed();
    }

    @Override
    public void connectionLost(String cause) {
        if (!connection.hasReceivedBytes() && timer.nanoTime() - sentAtNanos < DROP_NOTICE_NANOS) {
            onDropped.accept(cause);
        } else {
            listener.connectionLost(cause);
        }
    }

    @Override
    public void failed(String cause) {
        listener.failed(cause);
    }
}
