package org.cowslippick.relay.crash;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.http.BoundedJson;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.scheduler.quarantine.CrashId;
import org.cowslippick.scheduler.quarantine.CrashRecord;
import org.jboss.logging.Logger;

/** Encodes crash records as JSON. Their times are stored on the wall clock, as they outlive the process. */
final class CrashRecordCodec {

    /** Below the store's limit of 1 MiB for an object, which also holds what the store adds. */
    private static final int MAXIMUM_BYTES = 1_000_000;

    /** Of records that are too large together, one in so many is dropped at a time. */
    private static final int DROPPED_PART = 8;

    private static final Logger LOGGER = Logger.getLogger("cowslippick.crash");
    private static final String RECORDS = "records";

    private final TimerService timer;

    CrashRecordCodec(TimerService timer) {
        this.timer = timer;
    }

    /** Leaves out the oldest records if they are too large for the store. */
    ObjectNode encode(Collection<CrashRecord> records) {
        ImmutableList<CrashRecord> kept = records.stream()
                .sorted(Comparator.comparingLong(this::ageNanos))
                .collect(ImmutableList.toImmutableList());
        ObjectNode encoded = encodeAll(kept);
        while (BoundedJson.write(encoded).getBytes(StandardCharsets.UTF_8).length > MAXIMUM_BYTES) {
            kept = kept.subList(0, kept.size() - kept.size() / DROPPED_PART - 1);
            encoded = encodeAll(kept);
        }
        return encoded;
    }

    /** Skips records that are malformed. */
    ImmutableList<CrashRecord> decode(JsonNode spec) {
        return Streams.stream(spec.path(RECORDS).elements())
                .flatMap(record -> decodeRecord(record).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private ObjectNode encodeAll(ImmutableList<CrashRecord> records) {
        ObjectNode encoded = JsonNodeFactory.instance.objectNode();
        ArrayNode list = encoded.putArray(RECORDS);
        Instant now = timer.now();
        records.forEach(record -> {
            ArrayNode suspects = list.addObject()
                    .put("reporter", record.id().reporter().value())
                    .put("incarnation", record.id().incarnation().number())
                    .put("number", record.id().number())
                    .put("service", record.service().value())
                    .put("endpoint", record.endpoint())
                    .put("crashedAtMs", now.minusNanos(ageNanos(record)).toEpochMilli())
                    .putArray("suspects");
            record.suspects().forEach(suspects::add);
        });
        return encoded;
    }

    private Optional<CrashRecord> decodeRecord(JsonNode record) {
        try {
            return Optional.of(new CrashRecord(
                    new CrashId(
                            new InstanceName(record.path("reporter").asText()),
                            new Incarnation(record.path("incarnation").asLong()),
                            record.path("number").asLong()),
                    new ServiceName(record.path("service").asText()),
                    record.path("endpoint").asText(),
                    timer.nanoTime() - storedAgeNanos(record.path("crashedAtMs").asLong()),
                    Streams.stream(record.path("suspects").elements())
                            .map(JsonNode::asText)
                            .collect(ImmutableList.toImmutableList())));
        } catch (IllegalArgumentException malformed) {
            LOGGER.warn(LogLine.of("crash-record-unreadable").with("cause", String.valueOf(malformed.getMessage())));
            return Optional.empty();
        }
    }

    /** The clock of the instance that wrote the time may be ahead. */
    private long storedAgeNanos(long crashedAtMilliseconds) {
        return Duration.ofMillis(Math.max(0, timer.now().toEpochMilli() - crashedAtMilliseconds))
                .toNanos();
    }

    private long ageNanos(CrashRecord record) {
        return timer.nanoTime() - record.atNanos();
    }
}
