package org.cowslippick.relay.status;

import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.client.ClientMemory;
import org.cowslippick.relay.client.ConnectionLimit;

/** The limits for the clients of one status server. */
public record ClientGuard(ClientMemory memory, ConnectionLimit connections, TimerService timer) {}
