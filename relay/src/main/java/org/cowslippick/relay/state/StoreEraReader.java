package org.cowslippick.relay.state;

import com.google.common.primitives.Longs;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/** Reads the header that names the era of the store, and logs a malformed value once until another one comes. */
public final class StoreEraReader {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.platform");

    private String lastMalformed = "";

    /** The era that the header names: 0 without a header, empty if it is malformed. */
    public OptionalLong read(Optional<String> header) {
        if (header.isEmpty()) {
            return OptionalLong.of(0);
        }
        String text = header.get().strip();
        Long era = Longs.tryParse(text);
        if (era != null && era >= 0) {
            return OptionalLong.of(era);
        }
        if (!text.equals(lastMalformed)) {
            lastMalformed = text;
            LOGGER.warn(LogLine.of("store-era-unreadable").with("text", text));
        }
        return OptionalLong.empty();
    }
}
