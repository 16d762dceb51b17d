package org.cowslippick.fleet.peer;

import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** The identity that an entry proves in the handshake. */
public record PeerIdentity(InstanceName name, Incarnation incarnation, Region region) {}
