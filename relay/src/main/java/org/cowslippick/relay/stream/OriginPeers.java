package org.cowslippick.relay.stream;

import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.core.world.ServiceName;

/** Asks other instances for the origin of a stream. */
public interface OriginPeers {

    /** Calls the consumer once, with nothing if no instance that was asked knows the version in time. */
    void ask(ServiceName service, long stream, Consumer<Optional<String>> onAnswer);
}
