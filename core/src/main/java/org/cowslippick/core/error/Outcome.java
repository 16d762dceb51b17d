package org.cowslippick.core.error;

/** What is known about whether a failed request was executed. */
public enum Outcome {
    /** The request is proven not to have run. */
    NOT_RUN("not-run"),
    /** The request was dispatched and may have run. */
    UNKNOWN("outcome-unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the value used in responses to callers. */
    public String text() {
        return text;
    }
}
