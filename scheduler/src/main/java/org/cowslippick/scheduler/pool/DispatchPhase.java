package org.cowslippick.scheduler.pool;

/** How far a dispatched request has come. */
public enum DispatchPhase {
    /** The first token arrived; more follow. */
    FIRST_TOKEN(false, false, true),
    /** The whole answer arrived. */
    FINISHED(true, false, true),
    /** No connection to the endpoint could be made, so nothing was sent. */
    NOT_SENT(true, true, false),
    /** The endpoint refused it and proved that it did not start it. */
    REFUSED(true, true, false),
    /** The endpoint or its connection failed. */
    FAILED(true, true, true),
    /** The endpoint's process died while it ran the request. */
    CRASHED(true, true, true),
    /** No progress was seen for too long, although a new connection works. */
    SILENT(true, true, true),
    /** The entry gave it up: the caller left, a deadline passed, or another attempt won. */
    CANCELLED(true, false, true);

    private final boolean ended;
    private final boolean fault;
    private final boolean mayHaveStarted;

    DispatchPhase(boolean ended, boolean fault, boolean mayHaveStarted) {
        this.ended = ended;
        this.fault = fault;
        this.mayHaveStarted = mayHaveStarted;
    }

    /** Whether the request no longer occupies the endpoint. */
    public boolean hasEnded() {
        return ended;
    }

    /** Whether the endpoint may have started the request; if not, that is proved. */
    public boolean mayHaveStarted() {
        return mayHaveStarted;
    }

    /** Whether this speaks against the endpoint. */
    public boolean isFault() {
        return fault;
    }
}
