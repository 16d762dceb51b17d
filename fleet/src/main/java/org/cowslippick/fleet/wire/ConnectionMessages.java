package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableSet;

/** Message types of the connection layer itself: handshake and heartbeats. */
public final class ConnectionMessages {

    /** Types that an authenticated connection carries besides those of the application. */
    public static final ImmutableSet<MessageType<?>> HEARTBEATS =
            ImmutableSet.of(Heartbeat.TYPE, HeartbeatResponse.TYPE);

    /** The only types that a connection carries before it is authenticated. */
    public static final ImmutableSet<MessageType<?>> HANDSHAKE =
            ImmutableSet.of(Hello.TYPE, HelloResponse.TYPE, HelloProof.TYPE);

    private ConnectionMessages() {}
}
