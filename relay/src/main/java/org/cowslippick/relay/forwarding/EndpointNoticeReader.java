package org.cowslippick.relay.forwarding;

import com.google.common.primitives.Doubles;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.HeaderNames;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.jboss.logging.Logger;

/** Reads from the head of a response whether its endpoint leaves, or wants no further requests for some time. */
final class EndpointNoticeReader {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoint");
    private static final String SET = "1";
    private static final double MAXIMUM_PAUSE_SECONDS = Duration.ofDays(1).toSeconds();
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private EndpointNoticeReader() {}

    /** Returns what the response says; empty if it says nothing. */
    static Optional<EndpointNotice> read(HttpResponse response, HeaderNames names, long nowNanos) {
        boolean isLeaving =
                SET.equals(response.headers().get(names.leaving(), "").strip());
        Optional<Long> pausedUntilNanos = Optional.ofNullable(response.headers().get(HttpHeaderNames.RETRY_AFTER))
                .filter(_text -> response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE))
                .flatMap(EndpointNoticeReader::pauseNanos)
                .map(pause -> nowNanos + pause);
        return isLeaving || pausedUntilNanos.isPresent()
                ? Optional.of(new EndpointNotice(isLeaving, pausedUntilNanos))
                : Optional.empty();
    }

    private static Optional<Long> pauseNanos(String text) {
        Optional<Double> seconds = Optional.ofNullable(Doubles.tryParse(text.strip()))
                .filter(parsed -> Double.isFinite(parsed) && parsed >= 0);
        if (seconds.filter(parsed -> parsed <= MAXIMUM_PAUSE_SECONDS).isEmpty()) {
            LOGGER.warn(LogLine.of("retry-after-out-of-range").with("text", text));
        }
        return seconds.map(parsed -> (long) (Math.min(parsed, MAXIMUM_PAUSE_SECONDS) * NANOSECONDS_PER_SECOND));
    }
}
