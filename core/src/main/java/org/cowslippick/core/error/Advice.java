package org.cowslippick.core.error;

/** What a caller should do about an error. The texts appear in docs/ERRORS.md. */
public enum Advice {
    NONE("Nothing."),
    CORRECT("Correct the request; sending it again unchanged gives the same answer."),
    RETRY("Send it again, with the same idempotency key."),
    RETRY_LATER("Send it again after the retry-after time, with the same idempotency key."),
    RETRY_ELSEWHERE("Send it again to another address, with the same idempotency key."),
    CHECK_OUTCOME("Find out by other means whether it ran; a new idempotency key may run it twice.");

    private final String text;

    Advice(String text) {
        this.text = text;
    }

    public String text() {
        return text;
    }
}
