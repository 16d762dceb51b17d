package org.cowslippick.core.error;

/** What a caller may conclude about whether its request ran. */
public enum Outcome {
    /** The request did not run, and that is proved. */
    NOT_RUN("not-run"),
    /** The request was dispatched and may have run. */
    UNKNOWN("outcome-unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** The word used in answers to callers. */
    public String text() {
        return text;
    }
}
