package org.cowslippick.scheduler.engine;

import com.google.common.base.Splitter;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Optional;

/**
 * What an engine says in a response about its load.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait in it
 * @param slots the requests that it runs at most
 * @param machinePercent how long work takes on its machine at this moment; 100 is as usual; empty if it does not say
 */
public record EngineLoadReport(int running, int waiting, int slots, Optional<Double> machinePercent) {

    private static final Splitter FIELDS = Splitter.on(',').trimResults();
    private static final double MAXIMUM_PERCENT = 10_000;

    /** Below it the value is no plausible duration, and a prediction multiplied by it would be close to 0. */
    private static final double MINIMUM_PERCENT = 1;

    /** Reads {@code running,waiting,slots[,percent]}; empty if the text is malformed or a value is out of range. */
    public static Optional<EngineLoadReport> parse(String text) {
        List<String> fields = FIELDS.splitToList(text);
        if (fields.size() != 3 && fields.size() != 4) {
            return Optional.empty();
        }
        Optional<Double> percent = fields.size() == 4 ? percent(fields.get(3)) : Optional.empty();
        if (fields.size() == 4 && percent.isEmpty()) {
            return Optional.empty();
        }
        return count(fields.get(0)).flatMap(running -> count(fields.get(1)).flatMap(waiting -> count(fields.get(2))
                .map(slots -> new EngineLoadReport(running, waiting, slots, percent))));
    }

    private static Optional<Integer> count(String text) {
        return Optional.ofNullable(Ints.tryParse(text)).filter(count -> count >= 0);
    }

    /** Whether a value is within the range that a report may have. */
    public static boolean isPlausible(double percent) {
        return percent >= MINIMUM_PERCENT && percent <= MAXIMUM_PERCENT;
    }

    private static Optional<Double> percent(String text) {
        return Optional.ofNullable(Doubles.tryParse(text)).filter(EngineLoadReport::isPlausible);
    }
}
