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
                    (message, writer) -> writer.number(message.revision()),
                    reader -> new Announcement(reader.number())),
            new MessageType<>(
                    49,
                    FetchRequest.class,
                    Priority.ESSENTIAL,
                    (message, writer) -> {
                        writer.number(message.number());
                        writer.optionalText(message.chunk());
                    },
                    reader -> new FetchRequest(reader.number(), reader.optionalText())),
            new MessageType<>(
                    50,
                    FetchResponse.class,
                    Priority.ESSENTIAL,
                    (message, writer) -> {
                        writer.number(message.number());
                        writer.optionalText(message.text());
                    },
                    reader -> new FetchResponse(reader.number(), reader.optionalText())));

    private SettingsMessages() {}

    /** The sender holds this revision. */
    record Announcement(long revision) implements PeerMessage {}

    /** Asks for a chunk, or for the root if no chunk is named. */
    record FetchRequest(long number, Optional<String> chunk) implements PeerMessage {}

    /** The text, or nothing if the peer does not have it. */
    record FetchResponse(long number, Optional<String> text) implements PeerMessage {}
}
