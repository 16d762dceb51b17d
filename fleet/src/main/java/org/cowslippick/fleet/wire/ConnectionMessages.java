package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableSet;

/** The types of the messages that connections themselves exchange. */
public final class ConnectionMessages {

    /** All types that a connection may carry once the hello is over. */
    public static final ImmutableSet<MessageType<?>> HEARTBEATS = ImmutableSet.of(Heartbeat.TYPE, HeartbeatAnswer.TYPE);

    /** All types that a connection may carry before it is authenticated. */
    public static final ImmutableSet<MessageType<?>> HELLO =
            ImmutableSet.of(Hello.TYPE, HelloAnswer.TYPE, HelloProof.TYPE);

    private ConnectionMessages() {}
}
