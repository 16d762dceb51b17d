package org.cowslippick.fleet.grant;

import org.cowslippick.core.error.Failure;
import org.cowslippick.scheduler.pool.Grant;

/** Receives the decisions about one request. */
public interface GrantListener {

    /** The request may be sent to the granted endpoint. */
    void granted(Grant grant);

    /** The request, or a further attempt of it, was refused. */
    void refused(Failure failure);
}
