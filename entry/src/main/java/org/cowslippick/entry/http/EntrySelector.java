package org.cowslippick.entry.http;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Service;

/** Selects the entries that a caller should use. */
public interface EntrySelector {

    /** Selects the entries that a caller of the organisation should use for a service, best first. */
    Selection select(OrganisationName organisation, Service service);

    /**
     * The selected entries.
     *
     * @param validity how long the caller may cache the addresses
     * @param ticket the ticket that accompanies the caller's idempotency keys
     */
    record Selection(ImmutableList<HostAndPort> addresses, Duration validity, String ticket) {}
}
