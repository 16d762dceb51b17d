package org.cowslippick.scheduler.slot;

/** How a dispatch ended, as far as it tells something about the endpoint. */
public enum AnswerOutcome {
    /** A whole answer, or an ending that says nothing about the endpoint, such as a caller who left. */
    SOUND(0),
    /** The endpoint answered that it failed. */
    ERROR_ANSWER(1),
    /** The endpoint refused the request, or another run has its address. */
    NOT_RUN(1),
    /** No connection could be opened, so that nothing was sent. */
    UNREACHABLE(1),
    /** The connection broke, or the answer was no answer. */
    BROKEN(1);

    private final double failure;

    AnswerOutcome(double failure) {
        this.failure = failure;
    }

    /** 1 for an outcome that speaks against the endpoint, 0 for one that does not. */
    public double failure() {
        return failure;
    }
}
