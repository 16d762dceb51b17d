package org.cowslippick.scheduler.stream;

import org.cowslippick.core.world.ServiceName;

/**
 * The software version that has begun a stream. It never changes, so copies of it need no order.
 *
 * @param stream a hash of the caller's attempt that brought the first event
 * @param softwareVersion that of the endpoint that sent the first event; empty if its endpoints name none
 */
public record StreamOrigin(ServiceName service, long stream, String softwareVersion) {}
