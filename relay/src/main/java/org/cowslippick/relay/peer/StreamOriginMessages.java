package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.relay.stream.OriginAnswer;

/** Messages by which an instance asks others which software version has begun a stream. */
final class StreamOriginMessages {

    private StreamOriginMessages() {}

    /** All message types of this class, for registration. */
    static ImmutableSet<MessageType<?>> types() {
        return ImmutableSet.of(
                new MessageType<>(92, Query.class, Priority.ESSENTIAL, Query::encode, Query::decode),
                new MessageType<>(93, Answer.class, Priority.ESSENTIAL, Answer::encode, Answer::decode));
    }

    /** Asks for the origin of a stream; the number tells the sender's queries apart. */
    record Query(long number, ServiceName service, long stream) implements PeerMessage {

        private static void encode(Query message, MessageWriter writer) {
            writer.writeLong(message.number);
            writer.writeString(message.service.value());
            writer.writeLong(message.stream);
        }

        private static Query decode(MessageReader reader) {
            return new Query(reader.readLong(), new ServiceName(reader.readString()), reader.readLong());
        }
    }

    /** The answer to the query with the number. */
    record Answer(long number, OriginAnswer answer) implements PeerMessage {

        private static void encode(Answer message, MessageWriter writer) {
            writer.writeLong(message.number);
            writer.writeBoolean(message.answer.recorded().isPresent());
            message.answer.recorded().ifPresent(writer::writeString);
            writer.writeList(message.answer.possible(), (version, list) -> list.writeString(version));
        }

        private static Answer decode(MessageReader reader) {
            return new Answer(
                    reader.readLong(),
                    new OriginAnswer(
                            reader.readBoolean() ? Optional.of(reader.readString()) : Optional.empty(),
                            ImmutableSet.copyOf(reader.readList(MessageReader::readString))));
        }
    }
}
