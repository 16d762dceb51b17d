package org.cowslippick.relay.message;

/**
 * The place at which a caller resumes a stream that broke off.
 *
 * @param firstAttempt the caller's attempt that brought the first event of the stream; empty if the caller names none
 * @param lastEvent the id of the last event that the caller has received
 */
public record StreamResumption(String firstAttempt, String lastEvent) {}
