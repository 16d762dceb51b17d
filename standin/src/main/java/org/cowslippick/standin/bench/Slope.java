package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/**
 * A cost at several sizes with the straight line that fits them best (least squares).
 *
 * @param perItem what one more item costs
 * @param fixed what the line costs at size zero
 * @param residualShare the largest distance of a measured value from the line, over the largest value
 */
record Slope(
        String measure,
        String unit,
        String item,
        ImmutableList<Integer> sizes,
        ImmutableList<Double> values,
        double perItem,
        double fixed,
        double residualShare) {

    /** Fits a line through the values. */
    static Slope fit(
            String measure, String unit, String item, ImmutableList<Integer> sizes, ImmutableList<Double> values) {
        double meanSize = mean(sizes.stream().map(Integer::doubleValue).collect(ImmutableList.toImmutableList()));
        double meanValue = mean(values);
        double covariance = IntStream.range(0, sizes.size())
                .mapToDouble(at -> (sizes.get(at) - meanSize) * (values.get(at) - meanValue))
                .sum();
        double variance = sizes.stream()
                .mapToDouble(size -> (size - meanSize) * (size - meanSize))
                .sum();
        double perItem = covariance / variance;
        double fixed = meanValue - perItem * meanSize;
        double largest = values.stream().mapToDouble(Math::abs).max().orElseThrow();
        double residual = IntStream.range(0, sizes.size())
                .mapToDouble(at -> Math.abs(values.get(at) - fixed - perItem * sizes.get(at)))
                .max()
                .orElseThrow();
        return new Slope(measure, unit, item, sizes, values, perItem, fixed, residual / largest);
    }

    private static double mean(ImmutableList<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElseThrow();
    }
}
