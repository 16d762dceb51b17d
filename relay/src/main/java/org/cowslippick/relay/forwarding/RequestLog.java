package org.cowslippick.relay.forwarding;

import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Access log with one line per finished request. Failures and refusals are always logged, successful requests are
 * sampled by a hash of their id, so that an id is logged either on every instance or on none.
 */
final class RequestLog {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.request");
    private static final int SUCCESSES_PER_LINE = 8;

    private RequestLog() {}

    static void write(String id, boolean success, LogLine line) {
        if (!success || Math.floorMod(id.hashCode(), SUCCESSES_PER_LINE) == 0) {
            LOGGER.info(line);
        }
    }
}
