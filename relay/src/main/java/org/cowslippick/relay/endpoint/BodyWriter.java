package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;

/**
 * Writes the body of a request in pieces, each once the channel is writable. The transport copies what it is given into
 * direct memory until the endpoint has read it.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class BodyWriter {

    private static final int PIECE_BYTES = 32 << 10;

    private final Channel channel;
    private final ByteBuf unwritten;
    private final Consumer<Throwable> onFailure;
    private boolean lastWritten;
    private boolean flushed;

    BodyWriter(Channel channel, ByteBuf body, Consumer<Throwable> onFailure) {
        this.channel = channel;
        this.unwritten = body.duplicate();
        this.onFailure = onFailure;
    }

    /** Whether the whole body has left the process. */
    boolean isFlushed() {
        return flushed;
    }

    /** Writes as much as the channel takes now; to be called again when it becomes writable. */
    void write() {
        while (!lastWritten && channel.isWritable()) {
            ByteBuf piece = unwritten.readRetainedSlice(Math.min(PIECE_BYTES, unwritten.readableBytes()));
            lastWritten = !unwritten.isReadable();
            HttpContent content = lastWritten ? new DefaultLastHttpContent(piece) : new DefaultHttpContent(piece);
            channel.writeAndFlush(content).addListener((ChannelFuture done) -> {
                if (!done.isSuccess()) {
                    onFailure.accept(done.cause());
                } else if (content instanceof LastHttpContent) {
                    flushed = true;
                }
            });
        }
    }
}
