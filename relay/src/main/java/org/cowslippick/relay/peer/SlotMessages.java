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

/**
 * Messages between the instance that serves a caller and the owner of a pool. Times are sent relative to the moment of
 * sending, as the monotonic clocks of instances are not comparable.
 */
final class SlotMessages {

    private SlotMessages() {}

    /** All message types of this class, for registration. */
    static ImmutableSet<MessageType<?>> types() {
        return ImmutableSet.of(
                new MessageType<>(64, Acquire.class, Priority.ESSENTIAL, Acquire::encode, Acquire::decode),
                new MessageType<>(65, Adopt.class, Priority.ESSENTIAL, Adopt::encode, Adopt::decode),
                new MessageType<>(
                        66,
                        ResponseStarted.class,
                        Priority.DROPPABLE,
                        ResponseStarted::encode,
                        ResponseStarted::decode),
                new MessageType<>(67, Released.class, Priority.ESSENTIAL, Released::encode, Released::decode),
                new MessageType<>(68, Withdrawn.class, Priority.ESSENTIAL, Withdrawn::encode, Withdrawn::decode),
                new MessageType<>(69, Granted.class, Priority.ESSENTIAL, Granted::encode, Granted::decode),
                new MessageType<>(70, Refused.class, Priority.ESSENTIAL, Refused::encode, Refused::decode),
                new MessageType<>(71, Queued.class, Priority.ESSENTIAL, Queued::encode, Queued::decode));
    }

    /** A slot request whose times are relative to the moment of sending. */
    record RelativeSlotRequest(
            long number,
            int rank,
            int routeRank,
            long fingerprint,
            long promptTokens,
            long answerTokens,
            long pauseNanos,
            int tokensPerEvent,
            long waitedNanos,
            long remainingOnTimeNanos,
            long remainingQueueNanos,
            long remainingRetryQueueNanos,
            long remainingLifetimeNanos,
            ImmutableSet<String> excluded) {

        static RelativeSlotRequest of(SlotRequest request, long nowNanos) {
            return new RelativeSlotRequest(
                    request.key().number(),
                    request.rank(),
                    request.routeRank(),
                    request.fingerprint(),
                    request.promptTokens(),
                    request.answerTokens(),
                    request.pauseNanos(),
                    request.tokensPerEvent(),
                    nowNanos - request.arrivedAtNanos(),
                    request.onTimeUntilNanos() - nowNanos,
                    request.waitsUntilNanos() - nowNanos,
                    request.returnWaitsUntilNanos() - nowNanos,
                    request.expiresAtNanos() - nowNanos,
                    request.excluded());
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
                    nowNanos + remainingOnTimeNanos,
                    nowNanos + remainingQueueNanos,
                    nowNanos + remainingRetryQueueNanos,
                    nowNanos + remainingLifetimeNanos,
                    excluded);
        }

        private static void encode(RelativeSlotRequest request, MessageWriter writer) {
            writer.number(request.number);
            writer.number(request.rank);
            writer.number(request.routeRank);
            writer.number(request.fingerprint);
            writer.number(request.promptTokens);
            writer.number(request.answerTokens);
            writer.number(request.pauseNanos);
            writer.number(request.tokensPerEvent);
            writer.number(request.waitedNanos);
            writer.number(request.remainingOnTimeNanos);
            writer.number(request.remainingQueueNanos);
            writer.number(request.remainingRetryQueueNanos);
            writer.number(request.remainingLifetimeNanos);
            writer.list(request.excluded, (id, list) -> list.text(id));
        }

        private static RelativeSlotRequest decode(MessageReader reader) {
            return new RelativeSlotRequest(
                    reader.number(),
                    reader.integer(),
                    reader.integer(),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.integer(),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    ImmutableSet.copyOf(reader.list(MessageReader::text)));
        }
    }

    /** Requests a slot of the pool. */
    record Acquire(SlotPool pool, RelativeSlotRequest request) implements PeerMessage {

        private static void encode(Acquire message, MessageWriter writer) {
            encodePool(message.pool, writer);
            RelativeSlotRequest.encode(message.request, writer);
        }

        private static Acquire decode(MessageReader reader) {
            return new Acquire(decodePool(reader), RelativeSlotRequest.decode(reader));
        }
    }

    /** Transfers to a new owner a request that holds a slot granted by the previous one. */
    record Adopt(SlotPool pool, RelativeSlotRequest request, String endpoint) implements PeerMessage {

        private static void encode(Adopt message, MessageWriter writer) {
            encodePool(message.pool, writer);
            RelativeSlotRequest.encode(message.request, writer);
            writer.text(message.endpoint);
        }

        private static Adopt decode(MessageReader reader) {
            return new Adopt(decodePool(reader), RelativeSlotRequest.decode(reader), reader.text());
        }
    }

    /** Reports that the first part of the response has arrived. */
    record ResponseStarted(SlotPool pool, long number) implements PeerMessage {

        private static void encode(ResponseStarted message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.number(message.number);
        }

        private static ResponseStarted decode(MessageReader reader) {
            return new ResponseStarted(decodePool(reader), reader.number());
        }
    }

    /** Releases a slot after a dispatch. */
    record Released(SlotPool pool, long number, AnswerOutcome outcome) implements PeerMessage {

        private static void encode(Released message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.number(message.number);
            writer.constant(message.outcome);
        }

        private static Released decode(MessageReader reader) {
            return new Released(decodePool(reader), reader.number(), reader.constant(AnswerOutcome.class));
        }
    }

    /** Cancels a slot request. */
    record Withdrawn(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Withdrawn message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.number(message.number);
        }

        private static Withdrawn decode(MessageReader reader) {
            return new Withdrawn(decodePool(reader), reader.number());
        }
    }

    /** Grants a slot of the endpoint to the request. */
    record Granted(SlotPool pool, long number, LiveEndpoint endpoint, long predictedNanos) implements PeerMessage {

        private static void encode(Granted message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.number(message.number);
            StateSyncMessages.encodeEndpoint(message.endpoint, writer);
            writer.number(message.predictedNanos);
        }

        private static Granted decode(MessageReader reader) {
            return new Granted(
                    decodePool(reader), reader.number(), StateSyncMessages.decodeEndpoint(reader), reader.number());
        }
    }

    /** Refuses a slot to the request. */
    record Refused(SlotPool pool, long number, SlotDecision.Reason reason, long retryAfterNanos)
            implements PeerMessage {

        private static void encode(Refused message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.number(message.number);
            writer.constant(message.reason);
            writer.number(message.retryAfterNanos);
        }

        private static Refused decode(MessageReader reader) {
            return new Refused(
                    decodePool(reader), reader.number(), reader.constant(SlotDecision.Reason.class), reader.number());
        }
    }

    /** Acknowledges that the request waits in the owner's queue. */
    record Queued(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Queued message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.number(message.number);
        }

        private static Queued decode(MessageReader reader) {
            return new Queued(decodePool(reader), reader.number());
        }
    }

    private static void encodePool(SlotPool pool, MessageWriter writer) {
        writer.text(pool.service().value());
        writer.text(pool.region().name());
    }

    private static SlotPool decodePool(MessageReader reader) {
        return new SlotPool(new ServiceName(reader.text()), new Region(reader.text()));
    }
}
