package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Ends a connection on which bytes arrive while no response is pending. The decoder reports nothing before a head is complete, so that
 * the beginning of a late response would otherwise stay unnoticed until the next response continues it.
 */
final class UnexpectedBytesHandler extends ChannelInboundHandlerAdapter {

    private final EndpointConnection connection;

    UnexpectedBytesHandler(EndpointConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!connection.isResponsePending() && message instanceof ByteBuf bytes && bytes.isReadable()) {
            connection.unexpectedBytesArrived(bytes.readableBytes());
            bytes.release();
            return;
        }
        connection.responseBytesArrived();
        context.fireChannelRead(message);
    }
}
