package org.cowslippick.fleet.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** The JSON bodies of the platform's HTTP API, as specified in docs/INTERFACES.md. */
public final class PlatformJson {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private PlatformJson() {}

    public static String write(Object body) {
        try {
            return MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    "cannot serialise " + body.getClass().getSimpleName() + " as JSON: " + failure.getOriginalMessage(),
                    failure);
        }
    }

    /** Parses a body; returns the parser's message if the text is not a valid body. */
    public static <B> Either<String, B> read(String text, Class<B> type) {
        try {
            return Either.right(MAPPER.readValue(text, type));
        } catch (JsonProcessingException failure) {
            return Either.left(failure.getOriginalMessage());
        }
    }

    /** The body of a write: the value to be stored. */
    public record ValueBody(String value) {}

    /** One object. */
    public record ObjectBody(String name, long version, String value) {

        public static ObjectBody of(StoredObject object) {
            return new ObjectBody(object.key().name(), object.version(), object.value());
        }

        public StoredObject toObject(String kind) {
            return new StoredObject(new ObjectKey(kind, name), version, value);
        }
    }

    /** All objects of a kind. */
    public record ListBody(long version, List<ObjectBody> items) {

        public static ListBody of(ObjectList list) {
            return new ListBody(
                    list.version(), list.objects().stream().map(ObjectBody::of).toList());
        }

        public ObjectList toList(String kind) {
            return new ObjectList(
                    version, items.stream().map(item -> item.toObject(kind)).collect(ImmutableList.toImmutableList()));
        }
    }

    /** One line of a watch stream. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record WatchLine(String type, String name, Long version, String value) {

        public static final String CHANGED = "changed";
        public static final String DELETED = "deleted";
        public static final WatchLine ALIVE = new WatchLine("alive", null, null, null);

        public static WatchLine changed(StoredObject object) {
            return new WatchLine(CHANGED, object.key().name(), object.version(), object.value());
        }

        public static WatchLine deleted(ObjectKey key, long version) {
            return new WatchLine(DELETED, key.name(), version, null);
        }
    }

    /** One instance in the list of instances. */
    public record InstanceBody(
            String name, String failureDomain, String region, String callerAddress, String peerAddress, String state) {

        public static InstanceBody of(ListedInstance listed) {
            Instance instance = listed.instance();
            return new InstanceBody(
                    instance.name().value(),
                    instance.failureDomain().name(),
                    instance.region().name(),
                    instance.callerAddress().toString(),
                    instance.peerAddress().toString(),
                    listed.state().name().toLowerCase(Locale.ROOT));
        }

        public ListedInstance toInstance() {
            return new ListedInstance(
                    new Instance(
                            new InstanceName(name),
                            new FailureDomain(failureDomain, new Region(region)),
                            HostAndPort.fromString(callerAddress),
                            HostAndPort.fromString(peerAddress)),
                    ListedInstance.State.valueOf(state.toUpperCase(Locale.ROOT)));
        }
    }

    /** The list of instances. */
    public record InstancesBody(List<InstanceBody> instances) {

        public static InstancesBody of(List<ListedInstance> listed) {
            return new InstancesBody(listed.stream().map(InstanceBody::of).toList());
        }

        public ImmutableList<ListedInstance> toInstances() {
            return instances.stream().map(InstanceBody::toInstance).collect(ImmutableList.toImmutableList());
        }
    }
}
