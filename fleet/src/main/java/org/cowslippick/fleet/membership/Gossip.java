package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableList;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;

/**
 * A probe, or the acknowledgement of one, with piggybacked membership records.
 *
 * @param probe whether the receiver must respond
 * @param digest hash of all records of the sender; a difference triggers an exchange of all records
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
