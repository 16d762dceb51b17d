package org.cowslippick.scheduler.slot;

/** How a dispatch ended, as evidence about the health of the endpoint. */
public enum AnswerOutcome {
    /** A complete answer, or an end that is no evidence against the endpoint, such as a disconnected caller. */
    SOUND(0),
    /** The endpoint answered with an error. */
    ERROR_ANSWER(1),
    /** The endpoint refused the request, or another run of it now has its address. */
    NOT_RUN(1),
    /** No connection could be opened, so nothing was sent. */
    UNREACHABLE(1),
    /** The connection broke, or the answer was malformed. */
    BROKEN(1);

    private final double failureWeight;

    AnswerOutcome(double failureWeight) {
        this.failureWeight = failureWeight;
    }

    /** Whether the request had reached the endpoint and did not end with a response that names a failure. */
    boolean isEndOfRun() {
        return this == SOUND || this == BROKEN;
    }

    /** Whether the endpoint's process may have ended, and with it what it kept in memory. */
    boolean mayBeCrash() {
        return this == UNREACHABLE || this == BROKEN;
    }

    /** 1 for an outcome that counts against the endpoint, 0 for one that does not. */
    public double failureWeight() {
        return failureWeight;
    }
}
