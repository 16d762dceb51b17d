package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.jboss.logging.Logger;

/** Closes the connection, and only it, when anything on it fails. */
final class FaultHandler extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.peer");

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.infof("Connection closed. remote=%s cause=%s", context.channel().remoteAddress(), cause);
        Channels.close(context);
    }
}
