package org.cowslippick.relay.status;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.jboss.logging.Logger;

/** Serves the metrics of an instance as text. */
public final class MetricsServer {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.daemon");
    private static final String PATH = "/metrics";
    private static final int NOT_FOUND = 404;

    private MetricsServer() {}

    /** Listens at the address. An instance whose metrics address is taken serves callers all the same. */
    public static void listen(HostAndPort address, EventLoopGroup loops, ClientGuard guard, RelayMetrics metrics) {
        try {
            StatusServer.listen(
                    address,
                    loops,
                    guard,
                    query -> query.path().equals(PATH)
                            ? StatusResponse.text(RelayMetrics.CONTENT_TYPE, metrics.text())
                            : StatusResponse.empty(NOT_FOUND));
        } catch (IllegalStateException failure) {
            LOGGER.error(LogLine.of("metrics-address-not-bound").with("address", address.toString()), failure);
        }
    }
}
