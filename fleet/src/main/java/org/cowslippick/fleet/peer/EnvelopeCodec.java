package org.cowslippick.fleet.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;

/** Converts between frames and envelopes; a frame is a four-byte length followed by the body. */
final class EnvelopeCodec extends MessageToMessageCodec<ByteBuf, Envelope> {

    private static final int LENGTH_BYTES = 4;
    private static final String DECODER = "frame-decoder";
    private static final String PREPENDER = "frame-prepender";
    private static final String CODEC = "envelope-codec";

    private final FrameCodec codec;

    private EnvelopeCodec(FrameCodec codec) {
        this.codec = codec;
    }

    /** Adds framing and the codec, with a limit on the length of incoming frame bodies. */
    static void install(ChannelPipeline pipeline, FrameCodec codec, int maximumBytes) {
        pipeline.addLast(DECODER, decoder(maximumBytes));
        pipeline.addLast(PREPENDER, new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(CODEC, new EnvelopeCodec(codec));
    }

    /** Replaces the handshake codec, and the limit on incoming frame bodies. */
    static void replace(ChannelPipeline pipeline, FrameCodec codec, int maximumBytes) {
        pipeline.replace(CODEC, CODEC, new EnvelopeCodec(codec));
        pipeline.replace(DECODER, DECODER, decoder(maximumBytes));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maximumBytes) {
        return new LengthFieldBasedFrameDecoder(maximumBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    @Override
    protected void encode(ChannelHandlerContext _context, Envelope envelope, List<Object> out) {
        out.add(Unpooled.wrappedBuffer(codec.encode(envelope)));
    }

    @Override
    protected void decode(ChannelHandlerContext _context, ByteBuf body, List<Object> out) {
        codec.decode(ByteBufUtil.getBytes(body)).ifPresent(out::add);
    }
}
