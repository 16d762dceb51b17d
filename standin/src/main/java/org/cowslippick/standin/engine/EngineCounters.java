package org.cowslippick.standin.engine;

/**
 * Cumulative counters of an engine.
 *
 * @param prefillTokens prompt tokens computed
 * @param wastedPrefillTokens prompt tokens computed for requests that were cancelled before they finished
 * @param started requests admitted to the batch
 * @param duplicateStarts starts of a request id that this engine had started before
 */
public record EngineCounters(long prefillTokens, long wastedPrefillTokens, long started, long duplicateStarts) {}
