package org.cowslippick.relay.endpoint;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, and knows that an answer to a request for headers only has no body. */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int MAXIMUM_STATUS_LINE_BYTES = 8192;
    private static final int MAXIMUM_HEADER_BYTES = 65_536;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    private boolean noBody;

    ResponseDecoder() {
        super(MAXIMUM_STATUS_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES);
    }

    /** Says what the next answer is to. */
    void expectResponseTo(boolean isHeadRequest) {
        noBody = isHeadRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return noBody || super.isContentAlwaysEmpty(message);
    }
}
