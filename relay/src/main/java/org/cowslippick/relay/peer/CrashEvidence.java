package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.quarantine.CrashId;
import org.cowslippick.scheduler.quarantine.CrashRecord;

/**
 * Crash records of the sender. Times are sent as ages, as the monotonic clocks of instances are not comparable.
 *
 * @param digest of all records that the sender holds
 * @param records those that changed, or all of them; none to ask for the receiver's if its digest differs
 */
record CrashEvidence(long digest, ImmutableList<AgedRecord> records) implements PeerMessage {

    static final MessageType<CrashEvidence> TYPE = new MessageType<>(
            85, CrashEvidence.class, Priority.ESSENTIAL, CrashEvidence::encode, CrashEvidence::decode);

    /** A record whose time is relative to the moment of sending. */
    record AgedRecord(CrashId id, ServiceName service, String endpoint, long ageNanos, ImmutableList<String> suspects) {

        private static AgedRecord of(CrashRecord record, long nowNanos) {
            return new AgedRecord(
                    record.id(), record.service(), record.endpoint(), nowNanos - record.atNanos(), record.suspects());
        }

        private CrashRecord toRecord(long nowNanos) {
            return new CrashRecord(id, service, endpoint, nowNanos - ageNanos, suspects);
        }

        private static void encode(AgedRecord record, MessageWriter writer) {
            writer.writeString(record.id.reporter().value());
            writer.writeLong(record.id.incarnation().number());
            writer.writeLong(record.id.number());
            writer.writeString(record.service.value());
            writer.writeString(record.endpoint);
            writer.writeLong(record.ageNanos);
            writer.writeList(record.suspects, (content, list) -> list.writeString(content));
        }

        private static AgedRecord decode(MessageReader reader) {
            return new AgedRecord(
                    new CrashId(
                            new InstanceName(reader.readString()),
                            new Incarnation(reader.readLong()),
                            reader.readLong()),
                    new ServiceName(reader.readString()),
                    reader.readString(),
                    reader.readLong(),
                    reader.readList(MessageReader::readString));
        }
    }

    static CrashEvidence of(long digest, Collection<CrashRecord> records, long nowNanos) {
        return new CrashEvidence(
                digest,
                records.stream()
                        .map(record -> AgedRecord.of(record, nowNanos))
                        .collect(ImmutableList.toImmutableList()));
    }

    ImmutableList<CrashRecord> toRecords(long nowNanos) {
        return records.stream().map(record -> record.toRecord(nowNanos)).collect(ImmutableList.toImmutableList());
    }

    private static void encode(CrashEvidence message, MessageWriter writer) {
        writer.writeLong(message.digest);
        writer.writeList(message.records, AgedRecord::encode);
    }

    private static CrashEvidence decode(MessageReader reader) {
        return new CrashEvidence(reader.readLong(), reader.readList(AgedRecord::decode));
    }
}
