package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/**
 * A cost measured at several sizes, with a least-squares linear fit.
 *
 * @param perItem cost of one more item
 * @param fixed value of the line at size zero
 * @param residualShare largest absolute residual over the largest absolute value
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

    /** Fits a line to the values. */
    static Slope fit(
            String measure, String unit, String item, ImmutableList<Integer> sizes, ImmutableList<Double> values) {
        double meanSize = mean(sizes.stream().map(Integer::doubleValue).collect(ImmutableList.toImmutableList()));
        double meanValue = mean(values);
        double covariance = IntStream.range(0, sizes.size())
                .mapToDouble(index -> (sizes.get(index) - meanSize) * (values.get(index) - meanValue))
                .sum();
        double variance = sizes.stream()
                .mapToDouble(size -> (size - meanSize) * (size - meanSize))
                .sum();
        double perItem = covariance / variance;
        double fixed = meanValue - perItem * meanSize;
        double largestValue = values.stream().mapToDouble(Math::abs).max().orElseThrow();
        double largestResidual = IntStream.range(0, sizes.size())
                .mapToDouble(index -> Math.abs(values.get(index) - fixed - perItem * sizes.get(index)))
                .max()
                .orElseThrow();
        return new Slope(measure, unit, item, sizes, values, perItem, fixed, largestResidual / largestValue);
    }

    private static double mean(ImmutableList<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElseThrow();
    }
}
