package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.entry.request.RequestManager;
import org.cowslippick.fleet.membership.Membership;

/** The status that an entry reports to operators, serialised under the names of its components. */
record EntryStatus(
        String entry,
        long incarnation,
        String failureDomain,
        String region,
        boolean draining,
        long settingsRevision,
        int requestsInFlight,
        ImmutableList<String> pools,
        ImmutableList<MemberStatus> members) {

    /** A member of the fleet as this entry sees it. */
    record MemberStatus(String name, long incarnation, String callerAddress, String standing) {}

    static EntryStatus of(
            Instance self,
            Incarnation incarnation,
            long settingsRevision,
            RequestManager requests,
            Membership membership,
            ImmutableList<PoolKey> pools) {
        return new EntryStatus(
                self.name().value(),
                incarnation.number(),
                self.failureDomain().name(),
                self.region().name(),
                requests.isDraining(),
                settingsRevision,
                requests.inFlightCount(),
                pools.stream().map(PoolKey::toString).collect(ImmutableList.toImmutableList()),
                membership.members().values().stream()
                        .map(member -> new MemberStatus(
                                member.name().value(),
                                member.incarnation().number(),
                                member.instance().callerAddress().toString(),
                                member.status().name().toLowerCase(Locale.ROOT)))
                        .collect(ImmutableList.toImmutableList()));
    }
}
