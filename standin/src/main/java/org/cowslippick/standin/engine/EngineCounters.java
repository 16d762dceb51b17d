package org.cowslippick.standin.engine;

/**
 * What an engine did so far.
 *
 * @param prefillTokens prompt tokens computed
 * @param wastedPrefillTokens prompt tokens computed for requests that were cancelled or lost
 * @param started requests that began to run
 * @param startedTwice requests whose identity had run here before
 */
public record EngineCounters(long prefillTokens, long wastedPrefillTokens, long started, long startedTwice) {}
