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

    /** Announces the revision that the sender holds. */
    record Announcement(long revision) implements PeerMessage {}

    /** Requests a chunk, or the root if no chunk is named. */
    record FetchRequest(long number, Optional<String> chunk) implements PeerMessage {}

    /** Responds with the text; empty if the sender does not have it. */
    record FetchResponse(long number, Optional<String> text) implements PeerMessage {}
}
