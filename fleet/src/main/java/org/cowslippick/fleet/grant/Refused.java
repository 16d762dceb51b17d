package org.cowslippick.fleet.grant;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/** The owner of a pool refused a request or a further attempt of it. */
record Refused(PoolKey pool, RequestId request, Failure failure, long epoch) implements PoolMessage {

    static final MessageType<Refused> TYPE = new MessageType<>(
            23,
            Refused.class,
            Priority.ESSENTIAL,
            (refused, writer) -> {
                DescriptorCodec.encode(refused.pool, writer);
                writer.writeString(refused.request.value());
                writer.writeEnum(refused.failure.kind());
                writer.writeString(refused.failure.detail());
                writer.writeBoolean(refused.failure.retryAfter().isPresent());
                refused.failure.retryAfter().ifPresent(delay -> writer.writeLong(delay.toNanos()));
                writer.writeLong(refused.epoch);
            },
            reader -> new Refused(
                    DescriptorCodec.decodePool(reader),
                    new RequestId(reader.readString()),
                    decodeFailure(reader),
                    reader.readLong()));

    private static Failure decodeFailure(MessageReader reader) {
        return new Failure(
                reader.readEnum(ErrorKind.class),
                reader.readString(),
                reader.readBoolean() ? Optional.of(Duration.ofNanos(reader.readLong())) : Optional.empty());
    }
}
