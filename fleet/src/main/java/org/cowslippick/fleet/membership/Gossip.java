package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableList;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;

/**
 * A probe or its answer, with what the sender learned lately.
 *
 * @param probe whether an answer is wanted
 * @param digest hash of everything that the sender knows
 */
record Gossip(boolean probe, long digest, ImmutableList<MemberRecord> records) implements PeerMessage {

    static final MessageType<Gossip> TYPE =
            new MessageType<>(6, Gossip.class, Priority.ESSENTIAL, Gossip::encode, Gossip::decode);

    private static void encode(Gossip gossip, MessageWriter writer) {
        writer.writeBoolean(gossip.probe);
        writer.writeLong(gossip.digest);
        writer.writeList(gossip.records, MemberRecord::encode);
    }

    private static Gossip decode(MessageReader reader) {
        return new Gossip(reader.readBoolean(), reader.readLong(), reader.readList(MemberRecord::decode));
    }
}
