package org.cowslippick.scheduler.slot;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Lets through a limited number of requests for each version that they require, so that many streams that wait for the
 * busy endpoints of their version do not hide requests that any endpoint can serve.
 */
final class ConsiderationLimit implements Predicate<SlotRequest> {

    private final int maximum;
    private final Map<Optional<String>, Integer> counts = new HashMap<>();

    ConsiderationLimit(int maximum) {
        this.maximum = maximum;
    }

    @Override
    public boolean test(SlotRequest request) {
        return counts.merge(request.stream().requiredVersion(), 1, Integer::sum) <= maximum;
    }
}
