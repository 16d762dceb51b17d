package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableSet;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Messages between the instance that holds a caller and the owner of a pool. Times travel as distances from now. */
final class SlotMessages {

    private SlotMessages() {}

    /** All types of this class, for the registry of message types. */
    static ImmutableSet<MessageType<?>> types() {
        return ImmutableSet.of(
                new MessageType<>(64, Ask.class, Priority.ESSENTIAL, Ask::encode, Ask::decode),
                new MessageType<>(65, Adopt.class, Priority.ESSENTIAL, Adopt::encode, Adopt::decode),
                new MessageType<>(66, Answered.class, Priority.DROPPABLE, Answered::encode, Answered::decode),
                new MessageType<>(67, Ended.class, Priority.ESSENTIAL, Ended::encode, Ended::decode),
                new MessageType<>(68, Withdrawn.class, Priority.ESSENTIAL, Withdrawn::encode, Withdrawn::decode),
                new MessageType<>(69, Granted.class, Priority.ESSENTIAL, Granted::encode, Granted::decode),
                new MessageType<>(70, Refused.class, Priority.ESSENTIAL, Refused::encode, Refused::decode),
                new MessageType<>(71, Queued.class, Priority.ESSENTIAL, Queued::encode, Queued::decode));
    }

    /** A request as it is sent: the times relative to the moment of sending. */
    record Wanted(
            long number,
            int rank,
            int routeRank,
            long fingerprint,
            long promptTokens,
            long answerTokens,
            long pauseNanos,
            int tokensPerEvent,
            long waitedNanos,
            long onTimeForNanos,
            long waitsForNanos,
            long returnWaitsForNanos,
            long expiresInNanos,
            ImmutableSet<String> excluded) {

        static Wanted of(SlotRequest request, long nowNanos) {
            return new Wanted(
                    request.key().number(),
                    request.rank(),
                    request.routeRank(),
                    request.fingerprint(),
                    request.promptTokens(),
                    request.answerTokens(),
                    request.maximumPauseNanos(),
                    request.tokensPerEvent(),
                    nowNanos - request.arrivedAtNanos(),
                    request.onTimeUntilNanos() - nowNanos,
                    request.queueDeadlineNanos() - nowNanos,
                    request.retryQueueDeadlineNanos() - nowNanos,
                    request.expiresAtNanos() - nowNanos,
                    request.excludedEndpoints());
        }

        SlotRequest toRequest(SlotKey key, long nowNanos) {
            return new SlotRequest(
                    key,
                    rank,
                    routeRank,
                    fingerprint,
                    promptTokens,
                    answerTokens,
                    false,
                    pauseNanos,
                    tokensPerEvent,
                    nowNanos - waitedNanos,
                    nowNanos + onTimeForNanos,
                    nowNanos + waitsForNanos,
                    nowNanos + returnWaitsForNanos,
                    nowNanos + expiresInNanos,
                    excluded);
        }

        private static void encode(Wanted wanted, MessageWriter writer) {
            writer.writeLong(wanted.number);
            writer.writeLong(wanted.rank);
            writer.writeLong(wanted.routeRank);
            writer.writeLong(wanted.fingerprint);
            writer.writeLong(wanted.promptTokens);
            writer.writeLong(wanted.answerTokens);
            writer.writeLong(wanted.pauseNanos);
            writer.writeLong(wanted.tokensPerEvent);
            writer.writeLong(wanted.waitedNanos);
            writer.writeLong(wanted.onTimeForNanos);
            writer.writeLong(wanted.waitsForNanos);
            writer.writeLong(wanted.returnWaitsForNanos);
            writer.writeLong(wanted.expiresInNanos);
            writer.writeList(wanted.excluded, (id, list) -> list.writeString(id));
        }

        private static Wanted decode(MessageReader reader) {
            return new Wanted(
                    reader.readLong(),
                    reader.readInt(),
                    reader.readInt(),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readInt(),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readLong(),
                    ImmutableSet.copyOf(reader.readList(MessageReader::readString)));
        }
    }

    /** The sender wants a slot of the pool. */
    record Ask(SlotPool pool, Wanted wanted) implements PeerMessage {

        private static void encode(Ask message, MessageWriter writer) {
            encodePool(message.pool, writer);
            Wanted.encode(message.wanted, writer);
        }

        private static Ask decode(MessageReader reader) {
            return new Ask(decodePool(reader), Wanted.decode(reader));
        }
    }

    /** The sender holds a slot that another owner granted. */
    record Adopt(SlotPool pool, Wanted wanted, String endpoint) implements PeerMessage {

        private static void encode(Adopt message, MessageWriter writer) {
            encodePool(message.pool, writer);
            Wanted.encode(message.wanted, writer);
            writer.writeString(message.endpoint);
        }

        private static Adopt decode(MessageReader reader) {
            return new Adopt(decodePool(reader), Wanted.decode(reader), reader.readString());
        }
    }

    /** The first part of an answer has come. */
    record Answered(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Answered message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
        }

        private static Answered decode(MessageReader reader) {
            return new Answered(decodePool(reader), reader.readLong());
        }
    }

    /** A slot is free again. */
    record Ended(SlotPool pool, long number, AnswerOutcome outcome) implements PeerMessage {

        private static void encode(Ended message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
            writer.writeEnum(message.outcome);
        }

        private static Ended decode(MessageReader reader) {
            return new Ended(decodePool(reader), reader.readLong(), reader.readEnum(AnswerOutcome.class));
        }
    }

    /** The sender no longer wants a slot for the request. */
    record Withdrawn(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Withdrawn message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
        }

        private static Withdrawn decode(MessageReader reader) {
            return new Withdrawn(decodePool(reader), reader.readLong());
        }
    }

    /** The receiver may send its request to the endpoint. */
    record Granted(SlotPool pool, long number, LiveEndpoint endpoint, long predictedNanos) implements PeerMessage {

        private static void encode(Granted message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
            BriefingMessages.encodeEndpoint(message.endpoint, writer);
            writer.writeLong(message.predictedNanos);
        }

        private static Granted decode(MessageReader reader) {
            return new Granted(
                    decodePool(reader), reader.readLong(), BriefingMessages.decodeEndpoint(reader), reader.readLong());
        }
    }

    /** The request is not going to get a slot. */
    record Refused(SlotPool pool, long number, SlotDecision.Reason reason, long retryAfterNanos)
            implements PeerMessage {

        private static void encode(Refused message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
            writer.writeEnum(message.reason);
            writer.writeLong(message.retryAfterNanos);
        }

        private static Refused decode(MessageReader reader) {
            return new Refused(
                    decodePool(reader),
                    reader.readLong(),
                    reader.readEnum(SlotDecision.Reason.class),
                    reader.readLong());
        }
    }

    /** The request waits in the owner's queue. */
    record Queued(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Queued message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
        }

        private static Queued decode(MessageReader reader) {
            return new Queued(decodePool(reader), reader.readLong());
        }
    }

    private static void encodePool(SlotPool pool, MessageWriter writer) {
        writer.writeString(pool.service().value());
        writer.writeString(pool.region().name());
    }

    private static SlotPool decodePool(MessageReader reader) {
        return new SlotPool(new ServiceName(reader.readString()), new Region(reader.readString()));
    }
}
