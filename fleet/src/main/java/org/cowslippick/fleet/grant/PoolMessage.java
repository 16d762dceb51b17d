package org.cowslippick.fleet.grant;

import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.PeerMessage;

/** A message between an entry and the owner of a pool. */
interface PoolMessage extends PeerMessage {
    PoolKey pool();
}
