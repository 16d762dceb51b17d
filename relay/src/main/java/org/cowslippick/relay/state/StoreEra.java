package org.cowslippick.relay.state;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The newest era of the store that this instance has read. All watches share it, so that each of them lists again as
 * soon as one has read a response of a newer era.
 */
public final class StoreEra {

    private final List<Runnable> listeners = new ArrayList<>();
    private OptionalLong known = OptionalLong.empty();

    /** Adds what is called when a newer era than the known one has been read. */
    public void addListener(Runnable onNewEra) {
        listeners.add(onNewEra);
    }

    /** The newest era; 0 before the first response. */
    public long current() {
        return known.orElse(0);
    }

    /**
     * Records the era of a response, and notifies the listeners if it is newer than the known one.
     *
     * @param era empty if the response tells none
     */
    public void observe(OptionalLong era, boolean isSuccess) {
        // A failure without an era may come from a proxy, and tells nothing of the store.
        boolean isUnknown = known.isEmpty() && !isSuccess;
        if (era.isEmpty() || isOlder(era) || isUnknown) {
            return;
        }
        boolean isNewer = known.isPresent() && era.getAsLong() > current();
        known = era;
        if (isNewer) {
            listeners.forEach(Runnable::run);
        }
    }

    /** Whether a response of the era comes from before the last restart of the store. */
    public boolean isOlder(OptionalLong era) {
        return era.isPresent() && era.getAsLong() < current();
    }
}
