package org.cowslippick.relay.caller;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.relay.client.ConnectionMeter;

/**
 * Decides when the response to a slow caller is held back at its engine. An engine ends a response that stays unread for some
 * seconds, so it is read on while the memory for clients allows.
 */
final class ResponseBackpressure {

    private static final long MAXIMUM_BUFFERED_BYTES = 1 << 20;

    private final ConnectionMeter meter;
    private boolean isHeldBack;

    ResponseBackpressure(ConnectionMeter meter) {
        this.meter = meter;
    }

    /** Handles a write or a change of writability; tells the listener if reading must stop or may go on. */
    void update(Channel channel, Optional<CallerListener> listener) {
        if (isHeldBack && channel.isWritable()) {
            isHeldBack = false;
            listener.ifPresent(present -> present.writabilityChanged(true));
        } else if (!isHeldBack && !channel.isWritable() && !meter.hasRoomForResponse(MAXIMUM_BUFFERED_BYTES)) {
            isHeldBack = true;
            listener.ifPresent(present -> present.writabilityChanged(false));
        }
    }

    void responseEnded() {
        isHeldBack = false;
    }

    /** Whether the caller has not taken any of a buffered response for the time. */
    boolean isUnread(Duration timeout, long nowNanos) {
        return meter.pendingBytes() > 0 && nowNanos - meter.progressNanos() > timeout.toNanos();
    }
}
