package org.cowslippick.entry.request;

import org.cowslippick.core.world.EndpointName;

/** One granted attempt to run a request on an endpoint. */
record Attempt(int number, EndpointName endpoint) {}
