package org.cowslippick.scheduler.limit;

/**
 * The demand of callers in one scope at one entry, admitted or not.
 *
 * @param concurrency running requests and requests refused by the concurrency limit
 */
public record Demand(double requestsPerSecond, double tokensPerSecond, double concurrency) {

    public static final Demand NONE = new Demand(0, 0, 0);
}
