package org.cowslippick.entry.door;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Service;

/** Knows which entries a caller should use. */
public interface AddressBook {

    /** Returns the entries that a caller of the organisation should use for a service, best first. */
    Answer addresses(OrganisationName organisation, Service service);

    /** Addresses of entries, how long a caller may keep them, and a ticket for its idempotency keys. */
    record Answer(ImmutableList<HostAndPort> addresses, Duration keep, String ticket) {}
}
