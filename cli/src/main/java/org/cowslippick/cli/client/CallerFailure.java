package org.cowslippick.cli.client;

import org.cowslippick.core.error.Outcome;

/**
 * The failure of a request.
 *
 * @param kind an error kind of docs/ERRORS.md, or {@link #UNREACHABLE} or {@link #ANSWER_LOST}
 */
public record CallerFailure(String kind, Outcome outcome, String detail) {

    /** No entry could be reached. */
    public static final String UNREACHABLE = "unreachable";
    /** The request may have been sent, but no complete response arrived. */
    public static final String ANSWER_LOST = "answer-lost";

    private static final String ENTRY_DRAINING = "entry-draining";

    /** Whether another entry may be tried: the request certainly did not run, and only this entry refused it. */
    boolean isRetryableOnOtherEntry() {
        return outcome == Outcome.NOT_RUN && (kind.equals(UNREACHABLE) || kind.equals(ENTRY_DRAINING));
    }
}
