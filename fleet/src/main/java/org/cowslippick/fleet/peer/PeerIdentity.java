package org.cowslippick.fleet.peer;

import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** Who is at the other end of an authenticated connection. */
public record PeerIdentity(InstanceName name, Incarnation incarnation, Region region) {}
