package org.cowslippick.relay.stream;

import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.stream.StreamOrigin;

/** Knows which software version has begun a stream. */
public interface StreamVersions {

    /** Records that the first event of a stream has been passed on to the caller. */
    void recordOrigin(StreamOrigin origin);

    /**
     * Finds the version that has begun the stream. The consumer is called once, possibly before this method returns, with
     * nothing if the version is unknown.
     */
    void find(ServiceName service, long stream, Consumer<Optional<String>> onFound);
}
