package org.cowslippick.entry.request;

import org.cowslippick.core.world.EndpointName;

/** One granted attempt of a request. */
record Attempt(int number, EndpointName endpoint) {}
