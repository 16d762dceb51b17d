package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/**
 * The first message of whoever opens a connection.
 *
 * @param nonce random text that the other end has to authenticate
 * @param keys names of the cluster keys that the sender holds
 */
public record Hello(Versions versions, Sender sender, String nonce, ImmutableList<String> keys) implements PeerMessage {

    static final MessageType<Hello> TYPE =
            new MessageType<>(1, Hello.class, Priority.ESSENTIAL, Hello::encode, Hello::decode);

    /** The protocol versions that a process speaks. */
    public record Versions(int lowest, int highest) {

        public static final Versions CURRENT = new Versions(1, 1);

        /** Whether there is a version that both speak. */
        public boolean overlap(Versions other) {
            return Math.max(lowest, other.lowest) <= Math.min(highest, other.highest);
        }

        /** The highest version that both speak. */
        public int common(Versions other) {
            return Math.min(highest, other.highest);
        }
    }

    /** Who sends a hello. */
    public record Sender(InstanceName name, Incarnation incarnation, Region region) {

        static void encode(Sender sender, MessageWriter writer) {
            writer.writeString(sender.name.value());
            writer.writeLong(sender.incarnation.number());
            writer.writeString(sender.region.name());
        }

        static Sender decode(MessageReader reader) {
            return new Sender(
                    new InstanceName(reader.readString()), new Incarnation(reader.readLong()), new Region(reader.readString()));
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
