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

    /** Writes a whole number. */
    public void number(long value) {
        attempt(() -> packer.packLong(value));
    }

    /** Writes a floating-point number. */
    public void real(double value) {
        attempt(() -> packer.packDouble(value));
    }

    /** Writes a boolean. */
    public void flag(boolean value) {
        attempt(() -> packer.packBoolean(value));
    }

    /** Writes a string. */
    public void text(String value) {
        attempt(() -> packer.packString(value));
    }

    /** Writes a string that may be absent. */
    public void optionalText(Optional<String> value) {
        flag(value.isPresent());
        value.ifPresent(this::text);
    }

    /** Writes a constant of an enum by name. */
    public void constant(Enum<?> value) {
        text(value.name());
    }

    /** Writes an address. */
    public void address(HostAndPort value) {
        text(value.toString());
    }

    /** Writes bytes. */
    public void bytes(byte[] value) {
        attempt(() -> packer.packBinaryHeader(value.length).writePayload(value));
    }

    /** Writes a list whose elements the encoder writes. */
    public <T> void list(ImmutableCollection<T> elements, BiConsumer<T, MessageWriter> encoder) {
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

    private static void attempt(Write write) {
        try {
            write.run();
        } catch (IOException impossible) {
            throw new UncheckedIOException("a buffer in memory failed", impossible);
        }
    }

    @FunctionalInterface
    private interface Write {
        void run() throws IOException;
    }
}
