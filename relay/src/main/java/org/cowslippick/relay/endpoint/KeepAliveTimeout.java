package org.cowslippick.relay.endpoint;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/** The time for which an endpoint keeps an idle connection, as named by {@code Keep-Alive: timeout=N} in seconds. */
final class KeepAliveTimeout {

    private static final String HEADER = "Keep-Alive";
    private static final String PARAMETER = "timeout=";

    /** The idle time without the header, below the shortest that the header can name. */
    private static final Duration DEFAULT_IDLE = Duration.ofMillis(800);

    /**
     * The endpoint's time starts when it has sent the response, and the next request must reach it in time. Covers a round
     * trip of 60 ms between regions and the delay of a busy event loop.
     */
    private static final Duration NETWORK_MARGIN = Duration.ofMillis(200);

    /** Longer times are of no use, as a connection that idles for so long is not needed. */
    private static final Duration MAXIMUM_IDLE = Duration.ofSeconds(60);

    private KeepAliveTimeout() {}

    /** How long a connection may idle after the response; empty if the response does not say it in a readable way. */
    static Optional<Duration> announcedIdle(HttpResponse head) {
        return Splitter.on(',')
                .trimResults()
                .splitToStream(String.join(",", head.headers().getAll(HEADER)))
                .filter(parameter -> parameter.regionMatches(true, 0, PARAMETER, 0, PARAMETER.length()))
                .flatMap(parameter -> Stream.ofNullable(Longs.tryParse(parameter.substring(PARAMETER.length()))))
                .findFirst()
                .filter(seconds -> seconds >= 0)
                .map(KeepAliveTimeout::idleFor);
    }

    private static Duration idleFor(long seconds) {
        Duration named = Duration.ofSeconds(Math.min(seconds, MAXIMUM_IDLE.toSeconds()));
        return seconds == 0 ? Duration.ZERO : named.minus(NETWORK_MARGIN);
    }

    static Duration defaultIdle() {
        return DEFAULT_IDLE;
    }
}
