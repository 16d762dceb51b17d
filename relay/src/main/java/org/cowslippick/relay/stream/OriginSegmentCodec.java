package org.cowslippick.relay.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import com.google.common.collect.Streams;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.http.BoundedJson;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.jboss.logging.Logger;

/** Encodes segments as JSON, with the origins grouped by service and version, and decodes what other instances wrote. */
public final class OriginSegmentCodec {

    /** Below the store's limit of 1 MiB for an object, which also holds what the store adds. */
    private static final int MAXIMUM_BYTES = 1_000_000;

    /** Of the origins of a segment that is too large, one in so many is dropped at a time. */
    private static final int DROPPED_PART = 8;

    private static final Logger LOGGER = Logger.getLogger("cowslippick.streams");

    private final Set<String> malformedNames = new HashSet<>();

    /** The name under which a segment is stored. */
    public static String name(OriginSegment segment) {
        return segment.instance().value() + "." + segment.number();
    }

    /** Leaves out the oldest origins of a segment that is too large for the store. */
    public static ObjectNode encode(OriginSegment segment) {
        ImmutableList<StreamOrigin> origins = segment.origins();
        ObjectNode encoded = encode(segment, origins);
        while (sizeInBytes(encoded) > MAXIMUM_BYTES) {
            origins = origins.subList(origins.size() / DROPPED_PART + 1, origins.size());
            encoded = encode(segment, origins);
        }
        if (origins.size() < segment.origins().size()) {
            LOGGER.warn(LogLine.of("stream-origins-dropped")
                    .with("name", name(segment))
                    .with("dropped", segment.origins().size() - origins.size())
                    .with("cause", "the object would have more than " + MAXIMUM_BYTES + " bytes"));
        }
        return encoded;
    }

    /** Empty if the entry is malformed, which is logged once until it can be read. */
    public Optional<OriginSegment> decode(String name, JsonNode encoded) {
        try {
            OriginSegment segment = decodeSegment(name, encoded);
            malformedNames.remove(name);
            return Optional.of(segment);
        } catch (IllegalArgumentException malformed) {
            if (malformedNames.add(name)) {
                LOGGER.warn(LogLine.of("stream-origins-unreadable")
                        .with("name", name)
                        .with("cause", String.valueOf(malformed.getMessage())));
            }
            return Optional.empty();
        }
    }

    private static int sizeInBytes(JsonNode encoded) {
        return BoundedJson.write(encoded).getBytes(StandardCharsets.UTF_8).length;
    }

    private static ObjectNode encode(OriginSegment segment, ImmutableList<StreamOrigin> origins) {
        ObjectNode encoded = JsonNodeFactory.instance
                .objectNode()
                .put("instance", segment.instance().value())
                .put("number", segment.number())
                .put("sequence", segment.sequence());
        ArrayNode groups = encoded.putArray("origins");
        ImmutableListMultimap<VersionOfService, StreamOrigin> byVersion =
                Multimaps.index(origins, VersionOfService::of);
        byVersion.asMap().forEach((version, members) -> groups.addObject()
                .put("service", version.service().value())
                .put("version", version.softwareVersion())
                .put("streams", encodeStreams(members)));
        return encoded;
    }

    private static String encodeStreams(Collection<StreamOrigin> origins) {
        ByteBuffer bytes = ByteBuffer.allocate(origins.size() * Long.BYTES);
        origins.forEach(origin -> bytes.putLong(origin.stream()));
        return Base64.getEncoder().encodeToString(bytes.array());
    }

    private static OriginSegment decodeSegment(String name, JsonNode encoded) {
        OriginSegment segment = new OriginSegment(
                new InstanceName(encoded.path("instance").asText()),
                (int) number(encoded, "number", Integer.MAX_VALUE),
                number(encoded, "sequence", Long.MAX_VALUE - 1),
                Streams.stream(array(encoded, "origins"))
                        .flatMap(OriginSegmentCodec::decodeGroup)
                        .collect(ImmutableList.toImmutableList()));
        if (!name.equals(name(segment))) {
            throw new IllegalArgumentException("name differs from that of the instance and number in the entry");
        }
        return segment;
    }

    private static Stream<StreamOrigin> decodeGroup(JsonNode group) {
        ServiceName service = new ServiceName(text(group, "service"));
        String version = text(group, "version");
        ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(text(group, "streams")));
        if (bytes.remaining() % Long.BYTES != 0) {
            throw new IllegalArgumentException("\"streams\" is no list of values of " + Long.BYTES + " bytes");
        }
        return IntStream.range(0, bytes.remaining() / Long.BYTES)
                .mapToObj(index -> new StreamOrigin(service, bytes.getLong(index * Long.BYTES), version));
    }

    private static long number(JsonNode node, String field, long maximum) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || value.longValue() < 0 || value.longValue() > maximum) {
            throw new IllegalArgumentException("\"" + field + "\" is no number from 0 to " + maximum);
        }
        return value.longValue();
    }

    private static JsonNode array(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw new IllegalArgumentException("\"" + field + "\" is no list");
        }
        return value;
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("\"" + field + "\" is no text");
        }
        return value.textValue();
    }

    private record VersionOfService(ServiceName service, String softwareVersion) {
        static VersionOfService of(StreamOrigin origin) {
            return new VersionOfService(origin.service(), origin.softwareVersion());
        }
    }
}
