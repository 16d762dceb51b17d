package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.cowslippick.core.world.ServiceName;

/** Asks other instances for the origin of a stream. */
public interface OriginPeers {

    /** Calls the consumer once: when all have answered, when one has recorded the origin, or after a timeout. */
    void ask(ServiceName service, long stream, Consumer<Answers> onAnswers);

    /**
     * The answers of other instances.
     *
     * @param received those that arrived in time
     * @param isComplete whether all instances that were asked have answered
     * @param areAllAsked whether all registered instances were asked, also those that are silent
     */
    record Answers(ImmutableList<OriginAnswer> received, boolean isComplete, boolean areAllAsked) {

        /** Whether every registered instance has answered. */
        boolean areFromAll() {
            return isComplete && areAllAsked;
        }
    }
}
