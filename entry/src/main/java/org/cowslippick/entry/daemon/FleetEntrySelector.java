package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.core.world.Service;
import org.cowslippick.entry.http.EntrySelector;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.ownership.Ownership;
import org.cowslippick.fleet.ownership.RendezvousHashing;

/**
 * Prefers the owner of the service's pool, where a grant needs no message between entries, followed by other entries of
 * the region in rendezvous-hashing order. An entry that is leaving is never selected.
 */
final class FleetEntrySelector implements EntrySelector {

    private static final int MAXIMUM_ADDRESSES = 3;
    private static final Duration VALIDITY = Duration.ofSeconds(2);

    private final Instance self;
    private final Supplier<Membership> membership;
    private final TicketIssuer tickets;

    FleetEntrySelector(Instance self, Supplier<Membership> membership, TicketIssuer tickets) {
        this.self = self;
        this.membership = membership;
        this.tickets = tickets;
    }

    @Override
    public Selection select(OrganisationName organisation, Service service) {
        return new Selection(preferredAddresses(service), VALIDITY, tickets.issue(organisation));
    }

    private ImmutableList<HostAndPort> preferredAddresses(Service service) {
        Membership current = membership.get();
        PoolKey pool = new PoolKey(service.pool(), self.region());
        Optional<Member> owner = new Ownership(current).ownerOf(pool);
        return Stream.concat(
                        owner.stream().filter(member -> member.region().equals(self.region())),
                        RendezvousHashing.order(
                                current.membersAcceptingWork(self.region()),
                                service.name().value())
                                .stream())
                .map(member -> member.instance().callerAddress())
                .distinct()
                .limit(MAXIMUM_ADDRESSES)
                .collect(ImmutableList.toImmutableList());
    }
}
