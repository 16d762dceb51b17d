package org.cowslippick.fleet.http;

import com.google.common.base.CharMatcher;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes HTTP responses, and marks those as invalid whose head joins two responses: a sender that stops within a head and
 * then writes another response continues the first head with the second one. The superclass accepts status lines and
 * headers of any spelling, and reports only what it made of them.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

    private static final CharMatcher SKIPPED_IN_FRONT =
            CharMatcher.javaIsoControl().or(CharMatcher.whitespace());

    private final StringBuilder head = new StringBuilder();
    private boolean isReadingHead = true;

    public StrictResponseDecoder(int maximumStatusLineBytes, int maximumHeaderBytes, int maximumChunkBytes) {
        super(maximumStatusLineBytes, maximumHeaderBytes, maximumChunkBytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        int start = buffer.readerIndex();
        int count = decoded.size();
        super.decode(context, buffer, decoded);
        if (isReadingHead) {
            append(buffer.toString(start, buffer.readerIndex() - start, StandardCharsets.ISO_8859_1));
        }
        decoded.subList(count, decoded.size()).forEach(this::check);
    }

    /** The superclass limits the length of a head, but not that of what it skips in front of one. */
    private void append(String bytes) {
        if (head.length() > 0 || !SKIPPED_IN_FRONT.matchesAllOf(bytes)) {
            head.append(bytes);
        }
    }

    private void check(Object message) {
        if (message instanceof HttpResponse response) {
            isReadingHead = false;
            ResponseHeadValidator.findDefect(head.toString())
                    .filter(_defect -> response.decoderResult().isSuccess())
                    .map(IllegalArgumentException::new)
                    .ifPresent(defect -> response.setDecoderResult(DecoderResult.failure(defect)));
        }
        if (message instanceof LastHttpContent) {
            isReadingHead = true;
            head.setLength(0);
        }
    }
}
