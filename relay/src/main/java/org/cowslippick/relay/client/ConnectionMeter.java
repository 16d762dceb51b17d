package org.cowslippick.relay.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import org.cowslippick.core.time.TimerService;

/**
 * Measures what the process holds for one client: its bytes that are not part of a body, with the objects that they become,
 * the body, and unsent responses. It is the first handler of the connection.
 */
public final class ConnectionMeter extends ChannelInboundHandlerAdapter implements ClientConnection {

    /** Buffers and handlers of a connection. */
    private static final long CONNECTION_BYTES = 4 << 10;

    /** A header field with empty value takes this as objects; so a head of short fields takes many times its size. */
    private static final long LINE_BYTES = 200;

    /** Bounds the estimate for bodies of short lines, whose lines become no objects. */
    private static final int MAXIMUM_LINES_PER_READ = 8_192;

    /** Heads are held as they were decoded and as they are forwarded. */
    private static final long COPIES = 2;

    private static final byte END_OF_LINE = '\n';

    private final ClientMemory memory;
    private final TimerService timer;
    private final Client client;
    private ChannelHandlerContext context;
    private long headBytes;
    private long inboundBytes;
    private long lastReadBytes;
    private long lastPendingBytes;
    private long heldBytes;
    private boolean isForgotten;
    private long progressNanos;

    public ConnectionMeter(ClientMemory memory, TimerService timer, Client client) {
        this.memory = memory;
        this.timer = timer;
        this.client = client;
        this.progressNanos = timer.nanoTime();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        memory.add(this);
        update();
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        if (message instanceof ByteBuf bytes) {
            client.bytesArrived();
            lastReadBytes = client.isReadingBody() ? 0 : cost(bytes);
            inboundBytes += lastReadBytes;
        }
        context.fireChannelRead(message);
        update();
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        forget();
        context.fireChannelInactive();
    }

    /** Records that the head of a request is complete; what follows is its body. */
    public void headRead() {
        headBytes = inboundBytes;
    }

    /** Records that a part of a body was read, so that what came before it is not the beginning of a trailer. */
    public void bodyPartRead() {
        inboundBytes = headBytes + lastReadBytes;
    }

    /** Records that a request has been answered and nothing else is known to be held; a part of the next may have come. */
    public void requestEnded() {
        headBytes = 0;
        inboundBytes = lastReadBytes;
        progressNanos = timer.nanoTime();
        update();
    }

    /** Measures the connection again. */
    public void update() {
        if (isForgotten) {
            return;
        }
        long pending = pendingBytes();
        if (pending < lastPendingBytes) {
            progressNanos = timer.nanoTime();
        }
        lastPendingBytes = pending;
        long before = heldBytes;
        heldBytes = CONNECTION_BYTES + inboundBytes + client.bodyBytes() + pending;
        memory.change(heldBytes - before);
    }

    private void forget() {
        memory.remove(this);
        isForgotten = true;
    }

    /** The bytes of responses that the client has not taken. */
    public long pendingBytes() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Whether a response is buffered rather than held back at its engine. */
    public boolean hasRoomForResponse(long maximumBytes) {
        return pendingBytes() < maximumBytes && memory.hasRoomForResponses();
    }

    @Override
    public long heldBytes() {
        return heldBytes;
    }

    @Override
    public long progressNanos() {
        return progressNanos;
    }

    @Override
    public Activity activity() {
        return client.activity();
    }

    @Override
    public void evict(EvictionReason reason) {
        forget();
        client.evict(reason);
    }

    private static long cost(ByteBuf bytes) {
        int lines = 0;
        int position = bytes.readerIndex();
        int end = bytes.writerIndex();
        for (int next = bytes.indexOf(position, end, END_OF_LINE);
                next >= 0 && lines < MAXIMUM_LINES_PER_READ;
                next = bytes.indexOf(next + 1, end, END_OF_LINE)) {
            lines++;
        }
        return COPIES * (bytes.readableBytes() + lines * LINE_BYTES);
    }

    /** What the meter cannot see of a connection. */
    public interface Client {

        void bytesArrived();

        /** Whether arriving bytes are those of a body of known length, which {@link #bodyBytes} counts. */
        boolean isReadingBody();

        long bodyBytes();

        Activity activity();

        void evict(EvictionReason reason);
    }
}
