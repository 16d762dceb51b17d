package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;

/** The messages by which entries pass settings on. */
public final class SettingsMessages {

    /** For the registry of message types. */
    public static final ImmutableList<MessageType<?>> TYPES = ImmutableList.of(
            new MessageType<>(
                    48,
                    Announcement.class,
                    Priority.DROPPABLE,
                    (message, writer) -> writer.writeLong(message.revision()),
                    reader -> new Announcement(reader.readLong())),
            new MessageType<>(
                    49,
                    Question.class,
                    Priority.ESSENTIAL,
                    (message, writer) -> {
                        writer.writeLong(message.number());
                        writer.writeOptionalString(message.chunk());
                    },
                    reader -> new Question(reader.readLong(), reader.readOptionalString())),
            new MessageType<>(
                    50,
                    Answer.class,
                    Priority.ESSENTIAL,
                    (message, writer) -> {
                        writer.writeLong(message.number());
                        writer.writeOptionalString(message.text());
                    },
                    reader -> new Answer(reader.readLong(), reader.readOptionalString())));

    private SettingsMessages() {}

    /** The sender holds this revision. */
    record Announcement(long revision) implements PeerMessage {}

    /** Asks for a chunk, or for the root if no chunk is named. */
    record Question(long number, Optional<String> chunk) implements PeerMessage {}

    /** The text, or nothing if the peer does not have it. */
    record Answer(long number, Optional<String> text) implements PeerMessage {}
}
