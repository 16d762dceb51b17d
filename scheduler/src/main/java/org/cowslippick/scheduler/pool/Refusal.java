package org.cowslippick.scheduler.pool;

import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.InstanceName;

/** The decision that a request, or a further attempt of it, gets no endpoint. */
public record Refusal(RequestId request, InstanceName entry, Failure failure) {}
