package org.cowslippick.scheduler.pool;

/** How far a dispatched request has come. */
public enum DispatchPhase {
    /** The first token arrived; more follow. */
    FIRST_TOKEN(false, false),
    /** The whole answer arrived. */
    FINISHED(true, false),
    /** No connection to the endpoint could be made, so nothing was sent. */
    NOT_SENT(true, true),
    /** The endpoint refused it and proved that it did not start it. */
    REFUSED(true, true),
    /** The endpoint or its connection failed. */
    FAILED(true, true),
    /** The endpoint's process died while it ran the request. */
    CRASHED(true, true),
    /** No progress was seen for too long, although a new connection works. */
    SILENT(true, true),
    /** The entry gave it up: the caller left, a deadline passed, or another attempt won. */
    CANCELLED(true, false);

    private final boolean ended;
    private final boolean fault;

    DispatchPhase(boolean ended, boolean fault) {
        this.ended = ended;
        this.fault = fault;
    }

    /** Whether the request no longer occupies the endpoint. */
    public boolean ended() {
        return ended;
    }

    /** Whether this speaks against the endpoint. */
    public boolean fault() {
        return fault;
    }
}
