package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableSet;
import org.cowslippick.fleet.wire.MessageType;

/** The message types exchanged between the entries that use a pool and its owner. */
public final class GrantMessages {

    public static final ImmutableSet<MessageType<?>> TYPES = ImmutableSet.of(
            Offer.TYPE,
            Withdrawal.TYPE,
            Report.TYPE,
            Adoption.TYPE,
            Resync.TYPE,
            ResyncRequest.TYPE,
            Granted.TYPE,
            Refused.TYPE);

    private GrantMessages() {}
}
