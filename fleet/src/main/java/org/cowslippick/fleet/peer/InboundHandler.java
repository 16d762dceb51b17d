package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.BiConsumer;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.Heartbeat;
import org.cowslippick.fleet.wire.HeartbeatResponse;
import org.cowslippick.fleet.wire.PeerMessage;
import org.jboss.logging.Logger;

/** Passes on messages from an accepted, authenticated connection and responds to its heartbeats. */
final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.peer");

    private final PeerIdentity peer;
    private final Timeline timeline;
    private final BiConsumer<PeerIdentity, PeerMessage> onMessage;

    InboundHandler(PeerIdentity peer, Timeline timeline, BiConsumer<PeerIdentity, PeerMessage> onMessage) {
        this.peer = peer;
        this.timeline = timeline;
        this.onMessage = onMessage;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        timeline.observeLogicalTime(envelope.logicalTime());
        if (envelope.message() instanceof Heartbeat) {
            Channels.send(context, new Envelope(timeline.logicalTime(), new HeartbeatResponse()));
        } else {
            deliver(envelope.message());
        }
    }

    // An exception in a handler is a fault of this process, not of the peer, so the connection stays open.
    @SuppressWarnings("CatchBlockLogException")
    private void deliver(PeerMessage message) {
        try {
            onMessage.accept(peer, message);
        } catch (RuntimeException failure) {
            LOGGER.errorf(
                    failure,
                    "Handler failed. peer=%s message=%s",
                    peer.name(),
                    message.getClass().getSimpleName());
        }
    }
}
