package org.cowslippick.fleet.claim;

/** The whole answer of a finished request, kept for a caller that sends it again. */
public record StoredAnswer(String contentType, String body) {}
