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
import org.cowslippick.entry.door.AddressBook;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.ownership.Ownership;
import org.cowslippick.fleet.ownership.RendezvousHashing;

/**
 * Sends the callers of a service to the owner of its pool first, so that their grants need no message, and to others
 * of the region in the order of rendezvous hashing. An entry that leaves is never named.
 */
final class FleetAddresses implements AddressBook {

    private static final int NAMED = 3;
    private static final Duration KEPT = Duration.ofSeconds(2);

    private final Instance self;
    private final Supplier<Membership> membership;
    private final TicketOffice tickets;

    FleetAddresses(Instance self, Supplier<Membership> membership, TicketOffice tickets) {
        this.self = self;
        this.membership = membership;
        this.tickets = tickets;
    }

    @Override
    public Answer addresses(OrganisationName organisation, Service service) {
        return new Answer(preferred(service), KEPT, tickets.issue(organisation));
    }

    private ImmutableList<HostAndPort> preferred(Service service) {
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
                .limit(NAMED)
                .collect(ImmutableList.toImmutableList());
    }
}
