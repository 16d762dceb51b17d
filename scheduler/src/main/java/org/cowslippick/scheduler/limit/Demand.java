package org.cowslippick.scheduler.limit;

/**
 * What callers ask for in one scope at one entry, admitted or not.
 *
 * @param concurrency requests running and refused for concurrency
 */
public record Demand(double requestsPerSecond, double tokensPerSecond, double concurrency) {

    public static final Demand NONE = new Demand(0, 0, 0);
}
