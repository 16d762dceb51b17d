package org.cowslippick.fleet.membership;

import com.google.common.net.HostAndPort;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageWriter;

/**
 * The known state of one incarnation of an entry. Records of one instance form a join-semilattice: the order in which
 * they are merged does not matter, a higher incarnation replaces a lower one, and within an incarnation {@code gone}
 * and {@code leaving} never revert. The table digest hashes {@code toString()}, so the type and component names, here
 * and in nested records, are part of the protocol.
 *
 * @param refutations how many suspicions the entry itself has refuted
 */
record MemberRecord(
        Instance instance, Incarnation incarnation, int refutations, boolean suspected, boolean leaving, boolean gone) {

    static MemberRecord live(Instance instance, Incarnation incarnation) {
        return new MemberRecord(instance, incarnation, 0, false, false, false);
    }

    InstanceName name() {
        return instance.name();
    }

    MemberRecord merge(MemberRecord other) {
        int comparison = incarnation.compareTo(other.incarnation);
        if (comparison != 0) {
            return comparison > 0 ? this : other;
        }
        boolean isSuspected = refutations == other.refutations
                ? suspected || other.suspected
                : refutations > other.refutations ? suspected : other.suspected;
        return new MemberRecord(
                instance,
                incarnation,
                Math.max(refutations, other.refutations),
                isSuspected,
                leaving || other.leaving,
                gone || other.gone);
    }

    MemberRecord asSuspected() {
        return new MemberRecord(instance, incarnation, refutations, true, leaving, gone);
    }

    MemberRecord asRefuted() {
        return new MemberRecord(instance, incarnation, refutations + 1, false, leaving, gone);
    }

    MemberRecord asLeaving() {
        return new MemberRecord(instance, incarnation, refutations, suspected, true, gone);
    }

    MemberRecord asGone() {
        return new MemberRecord(instance, incarnation, refutations, suspected, leaving, true);
    }

    Member toMember() {
        Member.Status unlessLeaving = suspected ? Member.Status.SUSPECTED : Member.Status.LIVE;
        return new Member(instance, incarnation, leaving ? Member.Status.LEAVING : unlessLeaving);
    }

    static void encode(MemberRecord record, MessageWriter writer) {
        writer.writeString(record.instance.name().value());
        writer.writeString(record.instance.failureDomain().name());
        writer.writeString(record.instance.region().name());
        writer.writeAddress(record.instance.callerAddress());
        writer.writeAddress(record.instance.peerAddress());
        writer.writeLong(record.incarnation.number());
        writer.writeLong(record.refutations);
        writer.writeBoolean(record.suspected);
        writer.writeBoolean(record.leaving);
        writer.writeBoolean(record.gone);
    }

    static MemberRecord decode(MessageReader reader) {
        InstanceName name = new InstanceName(reader.readString());
        FailureDomain domain = new FailureDomain(reader.readString(), new Region(reader.readString()));
        HostAndPort callers = reader.readAddress();
        HostAndPort peers = reader.readAddress();
        return new MemberRecord(
                new Instance(name, domain, callers, peers),
                new Incarnation(reader.readLong()),
                reader.readInt(),
                reader.readBoolean(),
                reader.readBoolean(),
                reader.readBoolean());
    }
}
