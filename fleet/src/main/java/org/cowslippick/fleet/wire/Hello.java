package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/**
 * The first message of the handshake, sent by the dialler.
 *
 * @param nonce random text that the acceptor's proof must cover
 * @param keys names of the cluster keys that the sender holds
 */
public record Hello(Versions versions, Sender sender, String nonce, ImmutableList<String> keys) implements PeerMessage {

    static final MessageType<Hello> TYPE =
            new MessageType<>(1, Hello.class, Priority.ESSENTIAL, Hello::encode, Hello::decode);

    /** The range of protocol versions that a process supports. */
    public record Versions(int lowest, int highest) {

        public static final Versions CURRENT = new Versions(1, 1);

        /** Whether both ranges have a version in common. */
        public boolean overlaps(Versions other) {
            return Math.max(lowest, other.lowest) <= Math.min(highest, other.highest);
        }

        /** The highest version in both ranges, which must overlap. */
        public int highestCommon(Versions other) {
            return Math.min(highest, other.highest);
        }
    }

    /** The identity that a process announces in the handshake. */
    public record Sender(InstanceName name, Incarnation incarnation, Region region) {

        static void encode(Sender sender, MessageWriter writer) {
            writer.writeString(sender.name.value());
            writer.writeLong(sender.incarnation.number());
            writer.writeString(sender.region.name());
        }

        static Sender decode(MessageReader reader) {
            return new Sender(
                    new InstanceName(reader.readString()),
                    new Incarnation(reader.readLong()),
                    new Region(reader.readString()));
        }
    }

    private static void encode(Hello hello, MessageWriter writer) {
        writer.writeLong(hello.versions.lowest);
        writer.writeLong(hello.versions.highest);
        Sender.encode(hello.sender, writer);
        writer.writeString(hello.nonce);
        writer.writeList(hello.keys, (key, keys) -> keys.writeString(key));
    }

    private static Hello decode(MessageReader reader) {
        return new Hello(
                new Versions(reader.readInt(), reader.readInt()),
                Sender.decode(reader),
                reader.readString(),
                reader.readList(MessageReader::readString));
    }
}
