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

/** Reads the fields of one message; unexpected input causes a {@link MalformedFrameException}. */
public final class MessageReader implements AutoCloseable {

    private final MessageUnpacker unpacker;
    private final int size;

    MessageReader(byte[] body) {
        this.unpacker = MessagePack.newDefaultUnpacker(body);
        this.size = body.length;
    }

    public long readLong() {
        return attempt(unpacker::unpackLong);
    }

    /** Reads an integer; a value beyond 32 bits is malformed. */
    public int readInt() {
        return attempt(unpacker::unpackInt);
    }

    public double readDouble() {
        return attempt(unpacker::unpackDouble);
    }

    public boolean readBoolean() {
        return attempt(unpacker::unpackBoolean);
    }

    public String readString() {
        return attempt(unpacker::unpackString);
    }

    /** Reads a presence flag, then the string if it is present. */
    public Optional<String> readOptionalString() {
        return readBoolean() ? Optional.of(readString()) : Optional.empty();
    }

    public <E extends Enum<E>> E readEnum(Class<E> type) {
        return Enum.valueOf(type, readString());
    }

    public HostAndPort readAddress() {
        return HostAndPort.fromString(readString());
    }

    public byte[] readBytes() {
        int length = requireAvailable(attempt(unpacker::unpackBinaryHeader));
        return attempt(() -> unpacker.readPayload(length));
    }

    /** Reads an array; the decoder reads each element. */
    public <T> ImmutableList<T> readList(Function<MessageReader, T> decoder) {
        int length = requireAvailable(attempt(unpacker::unpackArrayHeader));
        return IntStream.range(0, length)
                .mapToObj(_index -> decoder.apply(this))
                .collect(ImmutableList.toImmutableList());
    }

    void requireEnd() {
        if (attempt(unpacker::hasNext)) {
            throw new MalformedFrameException("frame has trailing bytes after the last message field");
        }
    }

    @Override
    public void close() {
        attempt(() -> {
            unpacker.close();
            return true;
        });
    }

    private int requireAvailable(int length) {
        if (length > size - unpacker.getTotalReadBytes()) {
            throw new MalformedFrameException("length " + length + " exceeds the remaining bytes of the frame");
        }
        return length;
    }

    private static <T> T attempt(ReadOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException | MessagePackException malformed) {
            throw new MalformedFrameException(
                    "frame is truncated or a field has another type than expected", malformed);
        }
    }

    @FunctionalInterface
    private interface ReadOperation<T> {
        T run() throws IOException;
    }
}
