package org.cowslippick.entry.endpoint;

import org.cowslippick.scheduler.pool.DispatchPhase;

/** What the failure of a dispatch says of its endpoint. */
public enum DispatchFault {
    /** The endpoint answered wrongly or broke the connection, and lives. */
    FAILED(DispatchPhase.FAILED),
    /** The connection broke and no new one can be made: the process died. */
    CRASHED(DispatchPhase.CRASHED),
    /** The endpoint accepts connections and says nothing on new ones either. */
    SILENT(DispatchPhase.SILENT);

    private final DispatchPhase phase;

    DispatchFault(DispatchPhase phase) {
        this.phase = phase;
    }

    /** How the fault is reported to the pool. */
    public DispatchPhase phase() {
        return phase;
    }
}
