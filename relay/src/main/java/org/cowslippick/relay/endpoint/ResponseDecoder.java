package org.cowslippick.relay.endpoint;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses; a response to a HEAD request has no body. */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int MAXIMUM_STATUS_LINE_BYTES = 8192;
    private static final int MAXIMUM_HEADER_BYTES = 65_536;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    private boolean withoutBody;

    ResponseDecoder() {
        super(MAXIMUM_STATUS_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES);
    }

    /** Sets which kind of request the next response belongs to. */
    void expectResponseTo(boolean isHeadRequest) {
        withoutBody = isHeadRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }
}
