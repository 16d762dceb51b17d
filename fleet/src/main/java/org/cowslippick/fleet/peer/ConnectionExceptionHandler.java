package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import org.jboss.logging.Logger;

/** Closes a connection on any exception in its pipeline, without affecting other connections. */
final class ConnectionExceptionHandler extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.peer");

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException || cause instanceof ChannelException) {
            LOGGER.infof(
                    "Connection closed. remote=%s cause=%s", context.channel().remoteAddress(), cause);
        } else {
            LOGGER.errorf(
                    cause,
                    "Handling a message failed. remote=%s",
                    context.channel().remoteAddress());
        }
        Channels.close(context);
    }
}
