package org.cowslippick.scheduler.share;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;

/**
 * Delays the returns of an organisation to the rate at which its requests are dispatched, as callers that return faster
 * than their organisation's share allows would be refused again. Bounded in memory.
 */
public final class OrganisationReturns {

    private static final int DISPATCHES = 64;
    private static final int MAXIMUM_ORGANISATIONS = 1_000;

    /** Once all times up to the longest delay are taken, returns are spread over its last quarter. */
    private static final int LAST_PART_DIVISOR = 4;

    private final ArrayDeque<Optional<OrganisationName>> dispatches = new ArrayDeque<>(DISPATCHES + 1);
    private final Map<Optional<OrganisationName>, Integer> dispatchCounts = new HashMap<>();
    private final Map<Optional<OrganisationName>, Long> lastReturns = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Optional<OrganisationName>, Long> _eldest) {
            return size() > MAXIMUM_ORGANISATIONS;
        }
    };

    public void recordDispatch(Optional<OrganisationName> organisation) {
        dispatches.addLast(organisation);
        dispatchCounts.merge(organisation, 1, Integer::sum);
        if (dispatches.size() > DISPATCHES) {
            dispatchCounts.computeIfPresent(dispatches.removeFirst(), (_name, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Returns the earliest delay of the next return of an organisation.
     *
     * @param dispatchNanos the mean time between two dispatches of all organisations; 0 if unknown
     */
    public long earliestNanos(
            Optional<OrganisationName> organisation,
            long earliestNanos,
            long latestNanos,
            long dispatchNanos,
            long nowNanos) {
        long earliest = nowNanos + earliestNanos;
        long latest = nowNanos + latestNanos;
        Long last = lastReturns.get(organisation);
        long next = last == null ? earliest : last + (long) (dispatchNanos / share(organisation));
        long chosen = Math.max(earliest, Math.min(next, latest - (latest - earliest) / LAST_PART_DIVISOR));
        lastReturns.put(organisation, chosen);
        return chosen - nowNanos;
    }

    /** The organisation's part of the last dispatches, and at least an equal part. */
    private double share(Optional<OrganisationName> organisation) {
        int count = dispatchCounts.getOrDefault(organisation, 0);
        int organisations = dispatchCounts.size() + (count == 0 ? 1 : 0);
        return Math.max(1.0 / organisations, (double) count / Math.max(1, dispatches.size()));
    }
}
