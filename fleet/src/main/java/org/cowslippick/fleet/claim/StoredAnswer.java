package org.cowslippick.fleet.claim;

/** The complete answer of a finished request, stored for a caller that sends the request again. */
public record StoredAnswer(String contentType, String body) {}
