package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableCollection;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one message as MessagePack values. */
public final class MessageWriter implements AutoCloseable {

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    MessageWriter() {}

    public void writeLong(long value) {
        attempt(() -> packer.packLong(value));
    }

    public void writeDouble(double value) {
        attempt(() -> packer.packDouble(value));
    }

    public void writeBoolean(boolean value) {
        attempt(() -> packer.packBoolean(value));
    }

    public void writeString(String value) {
        attempt(() -> packer.packString(value));
    }

    /** Writes a presence flag, then the string if it is present. */
    public void writeOptionalString(Optional<String> value) {
        writeBoolean(value.isPresent());
        value.ifPresent(this::writeString);
    }

    /** Writes the name of the constant. */
    public void writeEnum(Enum<?> value) {
        writeString(value.name());
    }

    public void writeAddress(HostAndPort value) {
        writeString(value.toString());
    }

    public void writeBytes(byte[] value) {
        attempt(() -> packer.packBinaryHeader(value.length).writePayload(value));
    }

    /** Writes an array; the encoder writes each element. */
    public <T> void writeList(ImmutableCollection<T> elements, BiConsumer<T, MessageWriter> encoder) {
        attempt(() -> packer.packArrayHeader(elements.size()));
        elements.forEach(element -> encoder.accept(element, this));
    }

    byte[] toBytes() {
        return packer.toByteArray();
    }

    @Override
    public void close() {
        attempt(packer::close);
    }

    private static void attempt(WriteOperation operation) {
        try {
            operation.run();
        } catch (IOException impossible) {
            throw new UncheckedIOException("in-memory MessagePack buffer failed", impossible);
        }
    }

    @FunctionalInterface
    private interface WriteOperation {
        void run() throws IOException;
    }
}
