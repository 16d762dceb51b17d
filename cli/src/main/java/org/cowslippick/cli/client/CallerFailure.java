package org.cowslippick.cli.client;

import org.cowslippick.core.error.Outcome;

/**
 * A request that got no answer.
 *
 * @param kind a kind of docs/ERRORS.md, or {@link #UNREACHABLE} or {@link #ANSWER_LOST}
 */
public record CallerFailure(String kind, Outcome outcome, String detail) {

    /** No entry could be reached. */
    public static final String UNREACHABLE = "unreachable";
    /** The request was sent, but the connection ended before the answer. */
    public static final String ANSWER_LOST = "answer-lost";

    private static final String DRAINING = "entry-draining";

    /** Whether another entry may take the request: it certainly did not run, and only this entry refused it. */
    boolean elsewhere() {
        return outcome == Outcome.NOT_RUN && (kind.equals(UNREACHABLE) || kind.equals(DRAINING));
    }
}
