package org.cowslippick.scheduler.pool;

/** The progress of a dispatched request. */
public enum DispatchPhase {
    /** The first token arrived and more follow. */
    FIRST_TOKEN(false, false, true),
    /** The complete answer arrived. */
    FINISHED(true, false, true),
    /** No connection to the endpoint could be opened, so nothing was sent. */
    NOT_SENT(true, true, false),
    /** The endpoint refused the request and proved that it did not start it. */
    REFUSED(true, true, false),
    /** The endpoint or its connection failed. */
    FAILED(true, true, true),
    /** The endpoint's process crashed while it ran the request. */
    CRASHED(true, true, true),
    /** No progress was observed within the time limit, although a new connection works. */
    SILENT(true, true, true),
    /** The entry cancelled it: the caller disconnected, a deadline passed, or another attempt answered first. */
    CANCELLED(true, false, true);

    private final boolean hasEnded;
    private final boolean isFault;
    private final boolean mayHaveStarted;

    DispatchPhase(boolean hasEnded, boolean isFault, boolean mayHaveStarted) {
        this.hasEnded = hasEnded;
        this.isFault = isFault;
        this.mayHaveStarted = mayHaveStarted;
    }

    /** Whether the request no longer occupies the endpoint. */
    public boolean hasEnded() {
        return hasEnded;
    }

    /** Whether the endpoint may have started the request; false only if it provably did not. */
    public boolean mayHaveStarted() {
        return mayHaveStarted;
    }

    /** Whether this counts as a fault of the endpoint. */
    public boolean isFault() {
        return isFault;
    }
}
