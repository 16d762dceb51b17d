package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableSet;
import org.cowslippick.fleet.wire.MessageType;

/** Message types of the membership protocol. */
public final class MembershipMessages {

    public static final ImmutableSet<MessageType<?>> TYPES = ImmutableSet.of(Gossip.TYPE);

    private MembershipMessages() {}
}
