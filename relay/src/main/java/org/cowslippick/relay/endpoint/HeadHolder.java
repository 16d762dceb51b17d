package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.Optional;

/**
 * Writes the head of a request without its end, which follows on request. An endpoint that reads a whole head may act on it
 * before it has the body, so that holding back the end of the body would prove nothing.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class HeadHolder extends ChannelOutboundHandlerAdapter {

    /** Both line ends, as some servers take a carriage return alone for the end of a line. */
    private static final int HELD_BYTES = "\r\n\r\n".length();

    private Optional<ChannelFutureListener> onFirstBytes = Optional.empty();
    private Optional<Held> held = Optional.empty();

    /** Makes the next head wait for {@link #complete}, and reports when its first bytes are written. */
    void holdNext(ChannelFutureListener listener) {
        onFirstBytes = Optional.of(listener);
    }

    /** Writes the end of the head. */
    void complete() {
        held.ifPresent(present -> present.context().write(present.end(), present.promise()));
        held = Optional.empty();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (onFirstBytes.isEmpty() || !(message instanceof ByteBuf head)) {
            context.write(message, promise);
            return;
        }
        ByteBuf first = head.readRetainedSlice(head.readableBytes() - HELD_BYTES);
        held = Optional.of(new Held(context, head, promise));
        context.write(first).addListener(onFirstBytes.get());
        onFirstBytes = Optional.empty();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext _context) {
        held.ifPresent(present -> present.end().release());
        held = Optional.empty();
    }

    private record Held(ChannelHandlerContext context, ByteBuf end, ChannelPromise promise) {}
}
