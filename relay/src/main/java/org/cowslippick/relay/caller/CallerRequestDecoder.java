package org.cowslippick.relay.caller;

import com.google.common.collect.Iterables;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.Supplier;
import org.cowslippick.core.routing.CallerLimits;

/**
 * Decodes requests within the limits that are in force when each of them begins. The limits of a decoder are fixed, so it
 * is replaced between two requests after they have changed.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

    /** A request line may be as long as the other lines of a head together, and this long at least. */
    private static final int MINIMUM_REQUEST_LINE_LIMIT_BYTES = 8192;

    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    private final Supplier<CallerLimits> limits;
    private final int maximumHeaderBytes;
    private boolean isWithinRequest;

    CallerRequestDecoder(Supplier<CallerLimits> limits) {
        this(limits, limits.get().maximumHeaderBytes());
    }

    private CallerRequestDecoder(Supplier<CallerLimits> limits, int maximumHeaderBytes) {
        super(Math.max(MINIMUM_REQUEST_LINE_LIMIT_BYTES, maximumHeaderBytes), maximumHeaderBytes, MAXIMUM_CHUNK_BYTES);
        this.limits = limits;
        this.maximumHeaderBytes = maximumHeaderBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
        if (!isWithinRequest && limits.get().maximumHeaderBytes() != maximumHeaderBytes) {
            // The new decoder is handed the bytes that this one has not read.
            context.pipeline().replace(this, null, new CallerRequestDecoder(limits));
            return;
        }
        int unreadBefore = bytes.readableBytes();
        int messagesBefore = messages.size();
        super.decode(context, bytes, messages);
        if (messages.size() > messagesBefore) {
            isWithinRequest = !(Iterables.getLast(messages) instanceof LastHttpContent);
        } else if (bytes.readableBytes() < unreadBefore) {
            isWithinRequest = true;
        }
    }
}
