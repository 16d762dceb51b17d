package org.cowslippick.relay.forwarding;

import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * One line for each request that ended. Failures and refusals are always written; of sound answers only those whose id
 * falls into a fixed share, so that an id is either traceable on every instance or on none.
 */
final class RequestLog {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.request");
    private static final int SOUND_ANSWERS_PER_LINE = 8;

    private RequestLog() {}

    static void write(String id, boolean sound, LogLine line) {
        if (!sound || Math.floorMod(id.hashCode(), SOUND_ANSWERS_PER_LINE) == 0) {
            LOGGER.info(line);
        }
    }
}
