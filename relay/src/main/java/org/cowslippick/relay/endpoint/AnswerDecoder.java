package org.cowslippick.relay.endpoint;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, and knows that an answer to a request for headers only has no body. */
final class AnswerDecoder extends HttpResponseDecoder {

    private static final int MAXIMUM_FIRST_LINE_BYTES = 8192;
    private static final int MAXIMUM_HEADER_BYTES = 65_536;
    private static final int MAXIMUM_PART_BYTES = 65_536;

    private boolean headersOnly;

    AnswerDecoder() {
        super(MAXIMUM_FIRST_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_PART_BYTES);
    }

    /** Says what the next answer is to. */
    void answersTo(boolean requestForHeadersOnly) {
        headersOnly = requestForHeadersOnly;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headersOnly || super.isContentAlwaysEmpty(message);
    }
}
