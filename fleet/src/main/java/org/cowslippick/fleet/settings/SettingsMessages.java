package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;

/** The messages that announce and transfer settings between entries. */
public final class SettingsMessages {

    public static final ImmutableList<MessageType<?>> TYPES = ImmutableList.of(
            new MessageType<>(
                    48,
                    Announcement.class,
                    Priority.DROPPABLE,
                    (message, writer) -> writer.writeLong(message.revision()),
                    reader -> new Announcement(reader.readLong())),
            new MessageType<>(
                    49,
                    FetchRequest.class,
                    Priority.ESSENTIAL,
                    (message, writer) -> {
                        writer.writeLong(message.number());
                        writer.writeOptionalString(message.chunk());
                    },
                    reader -> new FetchRequest(reader.readLong(), reader.readOptionalString())),
            new MessageType<>(
                    50,
                    FetchResponse.class,
                    Priority.ESSENTIAL,
                    (message, writer) -> {
                        writer.writeLong(message.number());
                        writer.writeOptionalString(message.text());
                    },
                    reader -> new FetchResponse(reader.readLong(), reader.readOptionalString())));

    private SettingsMessages() {}

    /** Announces the revision that the sender holds. */
    record Announcement(long revision) implements PeerMessage {}

    /** Requests a chunk, or the root if no chunk is named. */
    record FetchRequest(long number, Optional<String> chunk) implements PeerMessage {}

    /** Responds with the text; empty if the sender does not have it. */
    record FetchResponse(long number, Optional<String> text) implements PeerMessage {}
}
