package org.cowslippick.relay.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.message.HeaderNames;
import org.junit.jupiter.api.Test;

class EngineLoadReaderTest {

    private static final HeaderNames NAMES =
            new HeaderNames("", "", "", "", "", "", "", "", "", "X-Load", "", "", "", "", "", ImmutableSet.of());
    private static final LiveEndpoint ENDPOINT = new LiveEndpoint(
            "engine-0",
            new ServiceName("model"),
            HostAndPort.fromParts("10.0.0.1", 80),
            new FailureDomain("oviedo", new Region("asturias")),
            7,
            false,
            1);

    private final EngineLoadReader reader = new EngineLoadReader(NAMES);
    private final List<Double> percents = new ArrayList<>();

    /** A load that was read from a malformed value would change the predictions of the pool's owner. */
    @Test
    void passesOnOnlyThePercentageOfWellFormedValues() {
        ImmutableList.of("3,1,7,250", "3,1,7", "3,1,7,-1", "", "busy").forEach(this::read);
        reader.read(ENDPOINT, response(), percents::add);
        assertEquals(ImmutableList.of(250.0), percents);
    }

    private void read(String value) {
        HttpResponse response = response();
        response.headers().set(NAMES.engineLoad(), value);
        reader.read(ENDPOINT, response, percents::add);
    }

    private static HttpResponse response() {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    }
}
