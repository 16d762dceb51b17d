package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.cowslippick.scheduler.prefix.PromptPart;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.cowslippick.scheduler.stream.StreamTerms;

/**
 * Messages between the instance that serves a caller and the owner of a pool. Times are sent relative to the moment of
 * sending, as the monotonic clocks of instances are not comparable.
 */
final class SlotMessages {

    /** Stands for the absence of an organisation, whose name is never empty. */
    private static final String ANONYMOUS = "";

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
                new MessageType<>(71, Queued.class, Priority.ESSENTIAL, Queued::encode, Queued::decode),
                new MessageType<>(
                        72,
                        RateLimitReported.class,
                        Priority.ESSENTIAL,
                        RateLimitReported::encode,
                        RateLimitReported::decode),
                new MessageType<>(
                        73, NoticeReported.class, Priority.ESSENTIAL, NoticeReported::encode, NoticeReported::decode));
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
            ImmutableSet<String> excluded,
            Optional<OrganisationName> organisation,
            ImmutableSet<String> connected,
            ImmutableList<PromptPart> promptParts,
            StreamTerms stream) {

        static RelativeSlotRequest of(SlotRequest request, long nowNanos) {
            return new RelativeSlotRequest(
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
                    request.excludedEndpoints(),
                    request.organisation(),
                    request.connectedEndpoints(),
                    request.promptParts(),
                    request.stream());
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
                    excluded,
                    organisation,
                    connected,
                    promptParts,
                    stream);
        }

        private static void encode(RelativeSlotRequest request, MessageWriter writer) {
            writer.writeLong(request.number);
            writer.writeLong(request.rank);
            writer.writeLong(request.routeRank);
            writer.writeLong(request.fingerprint);
            writer.writeLong(request.promptTokens);
            writer.writeLong(request.answerTokens);
            writer.writeLong(request.pauseNanos);
            writer.writeLong(request.tokensPerEvent);
            writer.writeLong(request.waitedNanos);
            writer.writeLong(request.remainingOnTimeNanos);
            writer.writeLong(request.remainingQueueNanos);
            writer.writeLong(request.remainingRetryQueueNanos);
            writer.writeLong(request.remainingLifetimeNanos);
            writer.writeList(request.excluded, (id, list) -> list.writeString(id));
            writer.writeString(request.organisation.map(OrganisationName::value).orElse(ANONYMOUS));
            writer.writeList(request.connected, (id, list) -> list.writeString(id));
            writer.writeList(request.promptParts, (part, list) -> {
                list.writeLong(part.id());
                list.writeLong(part.tokens());
            });
            writer.writeBoolean(request.stream.stream().isPresent());
            request.stream.stream().ifPresent(writer::writeLong);
            writer.writeBoolean(request.stream.requiredVersion().isPresent());
            request.stream.requiredVersion().ifPresent(writer::writeString);
        }

        private static RelativeSlotRequest decode(MessageReader reader) {
            return new RelativeSlotRequest(
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
                    ImmutableSet.copyOf(reader.readList(MessageReader::readString)),
                    Optional.of(reader.readString())
                            .filter(name -> !name.equals(ANONYMOUS))
                            .map(OrganisationName::new),
                    ImmutableSet.copyOf(reader.readList(MessageReader::readString)),
                    reader.readList(part -> new PromptPart(part.readLong(), part.readInt())),
                    decodeStream(reader));
        }
    }

    private static StreamTerms decodeStream(MessageReader reader) {
        return new StreamTerms(
                reader.readBoolean() ? OptionalLong.of(reader.readLong()) : OptionalLong.empty(),
                reader.readBoolean() ? Optional.of(reader.readString()) : Optional.empty());
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

    /**
     * Transfers to a new owner a request that holds a slot granted by the previous one.
     *
     * @param speed the speed that the previous owner assumed of the endpoint
     */
    record Adopt(SlotPool pool, RelativeSlotRequest request, String endpoint, SpeedEstimate speed)
            implements PeerMessage {

        private static void encode(Adopt message, MessageWriter writer) {
            encodePool(message.pool, writer);
            RelativeSlotRequest.encode(message.request, writer);
            writer.writeString(message.endpoint);
            encodeSpeed(message.speed, writer);
        }

        private static Adopt decode(MessageReader reader) {
            return new Adopt(
                    decodePool(reader), RelativeSlotRequest.decode(reader), reader.readString(), decodeSpeed(reader));
        }
    }

    /** How long work takes on an engine's machine in percent of the usual time, and how long ago the engine said so. */
    record AgedMachineLoad(double percent, long ageNanos) {

        private static void encode(AgedMachineLoad load, MessageWriter writer) {
            writer.writeDouble(load.percent);
            writer.writeLong(load.ageNanos);
        }

        private static AgedMachineLoad decode(MessageReader reader) {
            return new AgedMachineLoad(reader.readDouble(), reader.readLong());
        }
    }

    /**
     * Reports that the first part of the response has arrived.
     *
     * @param load what the response said about the load of the engine's machine
     */
    record ResponseStarted(SlotPool pool, long number, Optional<AgedMachineLoad> load) implements PeerMessage {

        private static void encode(ResponseStarted message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
            writer.writeBoolean(message.load.isPresent());
            message.load.ifPresent(load -> AgedMachineLoad.encode(load, writer));
        }

        private static ResponseStarted decode(MessageReader reader) {
            return new ResponseStarted(
                    decodePool(reader),
                    reader.readLong(),
                    reader.readBoolean() ? Optional.of(AgedMachineLoad.decode(reader)) : Optional.empty());
        }
    }

    /** Releases a slot after a dispatch. */
    record Released(SlotPool pool, long number, AnswerOutcome outcome) implements PeerMessage {

        private static void encode(Released message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
            writer.writeEnum(message.outcome);
        }

        private static Released decode(MessageReader reader) {
            return new Released(decodePool(reader), reader.readLong(), reader.readEnum(AnswerOutcome.class));
        }
    }

    /** Cancels a slot request. */
    record Withdrawn(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Withdrawn message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
        }

        private static Withdrawn decode(MessageReader reader) {
            return new Withdrawn(decodePool(reader), reader.readLong());
        }
    }

    /** What an endpoint said about its rate limit, and how long ago. */
    record AgedRateLimit(Optional<Double> requestsPerSecond, long ageNanos) {

        /** Encodes that an endpoint named no limit. */
        private static final double UNLIMITED = -1;

        static AgedRateLimit of(EndpointRateLimit limit, long nowNanos) {
            return new AgedRateLimit(limit.requestsPerSecond(), nowNanos - limit.asOfNanos());
        }

        EndpointRateLimit toRateLimit(long nowNanos) {
            return new EndpointRateLimit(requestsPerSecond, nowNanos - ageNanos);
        }

        private static void encode(AgedRateLimit limit, MessageWriter writer) {
            writer.writeDouble(limit.requestsPerSecond.orElse(UNLIMITED));
            writer.writeLong(limit.ageNanos);
        }

        private static AgedRateLimit decode(MessageReader reader) {
            double requestsPerSecond = reader.readDouble();
            return new AgedRateLimit(
                    requestsPerSecond < 0 ? Optional.empty() : Optional.of(requestsPerSecond), reader.readLong());
        }
    }

    /** Tells the owner of the pool what an endpoint said about its rate limit. */
    record RateLimitReported(SlotPool pool, String endpoint, AgedRateLimit limit) implements PeerMessage {

        private static void encode(RateLimitReported message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeString(message.endpoint);
            AgedRateLimit.encode(message.limit, writer);
        }

        private static RateLimitReported decode(MessageReader reader) {
            return new RateLimitReported(decodePool(reader), reader.readString(), AgedRateLimit.decode(reader));
        }
    }

    /** Tells another instance what an endpoint said about itself in a response to the sender. */
    record NoticeReported(LiveEndpoint endpoint, boolean isLeaving, Optional<Long> pauseNanos) implements PeerMessage {

        static NoticeReported of(LiveEndpoint endpoint, EndpointNotice notice, long nowNanos) {
            return new NoticeReported(
                    endpoint, notice.isLeaving(), notice.pausedUntilNanos().map(until -> until - nowNanos));
        }

        EndpointNotice toNotice(long nowNanos) {
            return new EndpointNotice(isLeaving, pauseNanos.map(remaining -> nowNanos + remaining));
        }

        private static void encode(NoticeReported message, MessageWriter writer) {
            StateSyncMessages.encodeEndpoint(message.endpoint, writer);
            writer.writeBoolean(message.isLeaving);
            writer.writeBoolean(message.pauseNanos.isPresent());
            message.pauseNanos.ifPresent(writer::writeLong);
        }

        private static NoticeReported decode(MessageReader reader) {
            return new NoticeReported(
                    StateSyncMessages.decodeEndpoint(reader),
                    reader.readBoolean(),
                    reader.readBoolean() ? Optional.of(reader.readLong()) : Optional.empty());
        }
    }

    /**
     * Grants a slot of the endpoint to the request.
     *
     * @param keptTokens the tokens of the prompt that the owner believes the endpoint to keep
     * @param limit what the owner knows of the endpoint's rate limit; empty if it has never named one
     * @param speed the speed that the owner assumes of the endpoint, which the receiver passes on to a new owner
     */
    record Granted(
            SlotPool pool,
            long number,
            LiveEndpoint endpoint,
            long predictedNanos,
            long keptTokens,
            Optional<AgedRateLimit> limit,
            SpeedEstimate speed)
            implements PeerMessage {

        private static void encode(Granted message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
            StateSyncMessages.encodeEndpoint(message.endpoint, writer);
            writer.writeLong(message.predictedNanos);
            writer.writeLong(message.keptTokens);
            writer.writeBoolean(message.limit.isPresent());
            message.limit.ifPresent(limit -> AgedRateLimit.encode(limit, writer));
            encodeSpeed(message.speed, writer);
        }

        private static Granted decode(MessageReader reader) {
            return new Granted(
                    decodePool(reader),
                    reader.readLong(),
                    StateSyncMessages.decodeEndpoint(reader),
                    reader.readLong(),
                    reader.readLong(),
                    reader.readBoolean() ? Optional.of(AgedRateLimit.decode(reader)) : Optional.empty(),
                    decodeSpeed(reader));
        }
    }

    /** Refuses a slot to the request. */
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

    /** Acknowledges that the request waits in the owner's queue. */
    record Queued(SlotPool pool, long number) implements PeerMessage {

        private static void encode(Queued message, MessageWriter writer) {
            encodePool(message.pool, writer);
            writer.writeLong(message.number);
        }

        private static Queued decode(MessageReader reader) {
            return new Queued(decodePool(reader), reader.readLong());
        }
    }

    private static void encodeSpeed(SpeedEstimate speed, MessageWriter writer) {
        writer.writeDouble(speed.nanosPerPromptToken());
        writer.writeDouble(speed.nanosPerAnswerToken());
        writer.writeDouble(speed.callNanos());
    }

    private static SpeedEstimate decodeSpeed(MessageReader reader) {
        return new SpeedEstimate(reader.readDouble(), reader.readDouble(), reader.readDouble());
    }

    private static void encodePool(SlotPool pool, MessageWriter writer) {
        writer.writeString(pool.service().value());
        writer.writeString(pool.region().name());
    }

    private static SlotPool decodePool(MessageReader reader) {
        return new SlotPool(new ServiceName(reader.readString()), new Region(reader.readString()));
    }
}
