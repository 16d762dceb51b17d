package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MalformedFrameException;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.relay.state.ConfigurationDocument;

/** Messages that transfer state from instances that read the store to instances that cannot. */
final class StateSyncMessages {

    /** The maximum size of a value in the store, with room for one that is stored compressed. */
    private static final int MAXIMUM_DOCUMENT_BYTES = 4 << 20;

    private StateSyncMessages() {}

    /** All message types of this class, for registration. */
    static ImmutableSet<MessageType<?>> types() {
        return ImmutableSet.of(
                new MessageType<>(
                        81,
                        InstanceAnnouncement.class,
                        Priority.ESSENTIAL,
                        InstanceAnnouncement::encode,
                        InstanceAnnouncement::decode),
                new MessageType<>(
                        82, StateRequest.class, Priority.DROPPABLE, StateRequest::encode, StateRequest::decode),
                new MessageType<>(
                        83, StateSnapshot.class, Priority.DROPPABLE, StateSnapshot::encode, StateSnapshot::decode));
    }

    /** The addresses of the sender; sent first on each connection. */
    record InstanceAnnouncement(Instance instance) implements PeerMessage {

        private static void encode(InstanceAnnouncement message, MessageWriter writer) {
            encodeInstance(message.instance, writer);
        }

        private static InstanceAnnouncement decode(MessageReader reader) {
            return new InstanceAnnouncement(decodeInstance(reader));
        }
    }

    /** Requests state that is newer than the given versions. */
    record StateRequest(StateVersions known) implements PeerMessage {

        private static void encode(StateRequest message, MessageWriter writer) {
            StateVersions.encode(message.known, writer);
        }

        private static StateRequest decode(MessageReader reader) {
            return new StateRequest(StateVersions.decode(reader));
        }
    }

    /**
     * State that the sender has read from the store.
     *
     * @param versions the versions of the sender's state
     * @param configuration empty if the receiver's version is as high
     * @param endpoints empty if the receiver's position is as high
     * @param instances empty if the receiver's position is as high
     */
    record StateSnapshot(
            StateVersions versions,
            Optional<ConfigurationDocument> configuration,
            ImmutableList<LiveEndpoint> endpoints,
            ImmutableList<Instance> instances)
            implements PeerMessage {

        private static void encode(StateSnapshot message, MessageWriter writer) {
            StateVersions.encode(message.versions, writer);
            writer.writeBoolean(message.configuration.isPresent());
            message.configuration.ifPresent(document -> {
                writer.writeLong(document.version());
                writer.writeBytes(compress(document.text()));
            });
            writer.writeList(message.endpoints, StateSyncMessages::encodeEndpoint);
            writer.writeList(message.instances, StateSyncMessages::encodeInstance);
        }

        private static StateSnapshot decode(MessageReader reader) {
            return new StateSnapshot(
                    StateVersions.decode(reader),
                    reader.readBoolean()
                            ? Optional.of(new ConfigurationDocument(reader.readLong(), decompress(reader.readBytes())))
                            : Optional.empty(),
                    reader.readList(StateSyncMessages::decodeEndpoint),
                    reader.readList(StateSyncMessages::decodeInstance));
        }
    }

    private static void encodeInstance(Instance instance, MessageWriter writer) {
        writer.writeString(instance.name().value());
        encodeDomain(instance.failureDomain(), writer);
        writer.writeAddress(instance.callerAddress());
        writer.writeAddress(instance.peerAddress());
        writer.writeDouble(instance.processors());
    }

    private static Instance decodeInstance(MessageReader reader) {
        return new Instance(
                new InstanceName(reader.readString()),
                decodeDomain(reader),
                reader.readAddress(),
                reader.readAddress(),
                reader.readDouble());
    }

    static void encodeEndpoint(LiveEndpoint endpoint, MessageWriter writer) {
        writer.writeString(endpoint.id());
        writer.writeString(endpoint.service().value());
        writer.writeAddress(endpoint.address());
        encodeDomain(endpoint.failureDomain(), writer);
        writer.writeLong(endpoint.slots());
        writer.writeBoolean(endpoint.leaving());
        writer.writeLong(endpoint.version());
        writer.writeLong(endpoint.startedAtMilliseconds());
        writer.writeString(endpoint.softwareVersion());
    }

    static LiveEndpoint decodeEndpoint(MessageReader reader) {
        return new LiveEndpoint(
                reader.readString(),
                new ServiceName(reader.readString()),
                reader.readAddress(),
                decodeDomain(reader),
                reader.readInt(),
                reader.readBoolean(),
                reader.readLong(),
                reader.readLong(),
                reader.readString());
    }

    private static void encodeDomain(FailureDomain domain, MessageWriter writer) {
        writer.writeString(domain.name());
        writer.writeString(domain.region().name());
    }

    private static FailureDomain decodeDomain(MessageReader reader) {
        return new FailureDomain(reader.readString(), new Region(reader.readString()));
    }

    private static byte[] compress(String text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream stream = new GZIPOutputStream(compressed)) {
            stream.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return compressed.toByteArray();
    }

    private static String decompress(byte[] compressed) {
        try (GZIPInputStream stream = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] text = stream.readNBytes(MAXIMUM_DOCUMENT_BYTES + 1);
            if (text.length > MAXIMUM_DOCUMENT_BYTES) {
                throw new MalformedFrameException(
                        "the decompressed configuration exceeds " + MAXIMUM_DOCUMENT_BYTES + " bytes");
            }
            return new String(text, StandardCharsets.UTF_8);
        } catch (IOException malformed) {
            throw new MalformedFrameException("the configuration cannot be decompressed", malformed);
        }
    }
}
