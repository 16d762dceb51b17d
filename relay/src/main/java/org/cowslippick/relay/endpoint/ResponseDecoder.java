package org.cowslippick.relay.endpoint;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.cowslippick.fleet.http.StrictResponseDecoder;

/**
 * Decodes HTTP responses; a response to a HEAD request has no body. Needs a channel that allows half closure, as only that
 * tells the end of the input from a reset.
 */
final class ResponseDecoder extends StrictResponseDecoder {

    private static final int MAXIMUM_STATUS_LINE_BYTES = 8192;
    private static final int MAXIMUM_HEADER_BYTES = 65_536;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    private boolean withoutBody;
    private boolean inputEnded;

    ResponseDecoder() {
        super(MAXIMUM_STATUS_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES);
    }

    /** Sets which kind of request the next response belongs to. */
    void expectResponseTo(boolean isHeadRequest) {
        withoutBody = isHeadRequest;
    }

    /** Whether the endpoint has ended its side of the connection in order. */
    boolean hasInputEnded() {
        return inputEnded;
    }

    /** Bytes that have arrived and belong to no decoded message. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Whether only the end of the connection shows where the body ends (RFC 9112, section 6.3). */
    boolean endsWithConnection(HttpResponse head) {
        return !isContentAlwaysEmpty(head)
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        inputEnded = inputEnded || event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(context, event);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }
}
