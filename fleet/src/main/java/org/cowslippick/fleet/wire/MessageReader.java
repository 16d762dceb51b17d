package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of one message; anything unexpected is a {@link MalformedFrameException}. */
public final class MessageReader implements AutoCloseable {

    private final MessageUnpacker unpacker;
    private final int size;

    MessageReader(byte[] body) {
        this.unpacker = MessagePack.newDefaultUnpacker(body);
        this.size = body.length;
    }

    /** Reads a whole number. */
    public long number() {
        return attempt(unpacker::unpackLong);
    }

    /** Reads a whole number that fits 32 bits. */
    public int integer() {
        return attempt(unpacker::unpackInt);
    }

    /** Reads a floating-point number. */
    public double real() {
        return attempt(unpacker::unpackDouble);
    }

    /** Reads a boolean. */
    public boolean flag() {
        return attempt(unpacker::unpackBoolean);
    }

    /** Reads a string. */
    public String text() {
        return attempt(unpacker::unpackString);
    }

    /** Reads a string that may be absent. */
    public Optional<String> optionalText() {
        return flag() ? Optional.of(text()) : Optional.empty();
    }

    /** Reads a constant of an enum. */
    public <E extends Enum<E>> E constant(Class<E> type) {
        return Enum.valueOf(type, text());
    }

    /** Reads an address. */
    public HostAndPort address() {
        return HostAndPort.fromString(text());
    }

    /** Reads bytes. */
    public byte[] bytes() {
        int length = checkedLength(attempt(unpacker::unpackBinaryHeader));
        return attempt(() -> unpacker.readPayload(length));
    }

    /** Reads a list whose elements the decoder reads. */
    public <T> ImmutableList<T> list(Function<MessageReader, T> decoder) {
        int length = checkedLength(attempt(unpacker::unpackArrayHeader));
        return IntStream.range(0, length)
                .mapToObj(_index -> decoder.apply(this))
                .collect(ImmutableList.toImmutableList());
    }

    void end() {
        if (attempt(unpacker::hasNext)) {
            throw new MalformedFrameException("the message is followed by further bytes");
        }
    }

    @Override
    public void close() {
        attempt(() -> {
            unpacker.close();
            return true;
        });
    }

    private int checkedLength(int length) {
        if (length > size - unpacker.getTotalReadBytes()) {
            throw new MalformedFrameException("a length of " + length + " is over what the frame holds");
        }
        return length;
    }

    private static <T> T attempt(Read<T> read) {
        try {
            return read.run();
        } catch (IOException | MessagePackException malformed) {
            throw new MalformedFrameException("the frame is cut short or holds another type of value", malformed);
        }
    }

    @FunctionalInterface
    private interface Read<T> {
        T run() throws IOException;
    }
}
