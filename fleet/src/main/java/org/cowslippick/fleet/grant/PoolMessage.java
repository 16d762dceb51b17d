package org.cowslippick.fleet.grant;

import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.PeerMessage;

/** A message about one pool. */
interface PoolMessage extends PeerMessage {
    PoolKey pool();
}
