package org.cowslippick.relay.forwarding;

import io.netty.handler.codec.http.HttpResponse;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleConsumer;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.HeaderNames;
import org.cowslippick.scheduler.engine.EngineLoadReport;
import org.jboss.logging.Logger;

/** Reads from the head of a response what its endpoint says about its load, and logs a malformed value once. */
public final class EngineLoadReader {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoint");

    /** Bounds the memory for endpoints that were logged; then the oldest may be logged again. */
    private static final int MAXIMUM_LOGGED = 10_000;

    private static final int MAXIMUM_LOGGED_LENGTH = 64;

    private final HeaderNames names;
    private final Set<String> logged = new LinkedHashSet<>();

    public EngineLoadReader(HeaderNames names) {
        this.names = names;
    }

    /** Passes on how long work takes on the machine of the endpoint, if the response says so. */
    void read(LiveEndpoint endpoint, HttpResponse response, DoubleConsumer machinePercent) {
        Optional.ofNullable(response.headers().get(names.engineLoad())).ifPresent(text -> EngineLoadReport.parse(text)
                .ifPresentOrElse(
                        load -> load.machinePercent().ifPresent(machinePercent::accept),
                        () -> logOnce(endpoint.id(), text)));
    }

    private void logOnce(String endpoint, String text) {
        if (!logged.add(endpoint)) {
            return;
        }
        if (logged.size() > MAXIMUM_LOGGED) {
            logged.remove(logged.iterator().next());
        }
        LOGGER.warn(LogLine.of("engine-load-unreadable")
                .with("endpoint", endpoint)
                .with("text", text.substring(0, Math.min(text.length(), MAXIMUM_LOGGED_LENGTH))));
    }
}
