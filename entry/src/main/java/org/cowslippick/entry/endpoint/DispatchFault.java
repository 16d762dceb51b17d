package org.cowslippick.entry.endpoint;

import org.cowslippick.scheduler.pool.DispatchPhase;

/** What a failed dispatch shows about the state of its endpoint. */
public enum DispatchFault {
    /** The endpoint is alive, but its answer was wrong or it closed the connection. */
    FAILED(DispatchPhase.FAILED),
    /** The connection was lost and no new one can be made, so the process is taken to have died. */
    CRASHED(DispatchPhase.CRASHED),
    /** The endpoint accepts connections but sends nothing, on a new connection either. */
    SILENT(DispatchPhase.SILENT);

    private final DispatchPhase phase;

    DispatchFault(DispatchPhase phase) {
        this.phase = phase;
    }

    /** The phase under which the fault is reported to the pool. */
    public DispatchPhase phase() {
        return phase;
    }
}
