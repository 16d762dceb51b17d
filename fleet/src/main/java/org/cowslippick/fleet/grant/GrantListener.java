package org.cowslippick.fleet.grant;

import org.cowslippick.core.error.Failure;
import org.cowslippick.scheduler.pool.Grant;

/** Hears the decisions about one request. */
public interface GrantListener {

    /** The request may be sent to the endpoint. */
    void granted(Grant grant);

    /** The request, or a further attempt of it, gets no endpoint. */
    void refused(Failure failure);
}
