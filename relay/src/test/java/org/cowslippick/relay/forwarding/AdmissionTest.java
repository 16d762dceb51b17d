package org.cowslippick.relay.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.routing.ServiceShare;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.StreamResumption;
import org.junit.jupiter.api.Test;

/** Streams of a route that is split between two services. */
class AdmissionTest {

    private static final int STREAMS = 200;
    private static final ServiceName ONE = new ServiceName("one");
    private static final ServiceName OTHER = new ServiceName("other");
    private static final RoutingTable TABLE = new RoutingTable(
            1,
            ImmutableList.of(new Route(
                    "chat",
                    "example.org",
                    "/chat/",
                    RouteKind.EVENT_STREAM,
                    ImmutableList.of(new ServiceShare(ONE, 1), new ServiceShare(OTHER, 1)),
                    Duration.ofSeconds(10),
                    Duration.ofMillis(400),
                    Duration.ofMillis(300),
                    0,
                    2,
                    true,
                    true)),
            ImmutableList.of(),
            CallerLimits.DEFAULT,
            ImmutableMap.of(),
            ImmutableMap.of());

    private static ServiceName service(String attempt, Optional<StreamResumption> resumption) {
        return Admission.of(request(attempt, resumption), TABLE).get().service();
    }

    private static CallerRequest request(String attempt, Optional<StreamResumption> resumption) {
        return new CallerRequest(
                HttpMethod.POST,
                "/chat/1",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                "example.org",
                "/chat/1",
                attempt,
                Optional.empty(),
                0,
                Optional.empty(),
                ImmutableList.of(),
                ImmutableList.of(),
                0,
                0,
                resumption,
                -1,
                0);
    }

    /** Guards against a stream that one service begins and another one continues. */
    @Test
    void resumptionGoesToTheServiceThatBeganTheStream() {
        IntStream.range(0, STREAMS)
                .forEach(number -> assertEquals(
                        service("first-" + number, Optional.empty()),
                        service("next-" + number, Optional.of(new StreamResumption("first-" + number, "3")))));
    }

    @Test
    void streamsAreSplitBetweenTheServices() {
        assertEquals(
                ImmutableSet.of(ONE, OTHER),
                IntStream.range(0, STREAMS)
                        .mapToObj(number -> service("first-" + number, Optional.empty()))
                        .collect(ImmutableSet.toImmutableSet()));
    }
}
