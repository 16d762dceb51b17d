package org.cowslippick.relay.status;

import io.netty.channel.Channel;
import org.cowslippick.relay.client.ClientConnection.Activity;
import org.cowslippick.relay.client.ClientConnection.EvictionReason;
import org.cowslippick.relay.client.ConnectionMeter;

/** A connection to a status server, as far as it takes up memory or a descriptor. Requests are answered as they are read. */
@SuppressWarnings("FutureReturnValueIgnored")
final class StatusConnection implements ConnectionMeter.Client {

    private final Channel channel;
    private final ClientGuard guard;
    private final ConnectionMeter meter;
    private boolean isReceiving;

    StatusConnection(Channel channel, ClientGuard guard) {
        this.channel = channel;
        this.guard = guard;
        this.meter = new ConnectionMeter(guard.memory(), guard.timer(), this);
    }

    ConnectionMeter meter() {
        return meter;
    }

    void answered() {
        isReceiving = false;
        meter.requestEnded();
    }

    void closed() {
        guard.connections().remove(meter);
    }

    @Override
    public void bytesArrived() {
        isReceiving = true;
    }

    @Override
    public boolean isReadingBody() {
        return false;
    }

    /** Bodies are short and count with the other bytes. */
    @Override
    public long bodyBytes() {
        return 0;
    }

    @Override
    public Activity activity() {
        return isReceiving || !channel.isWritable() ? Activity.STALLING : Activity.IDLE;
    }

    @Override
    public void evict(EvictionReason _reason) {
        channel.close();
    }
}
