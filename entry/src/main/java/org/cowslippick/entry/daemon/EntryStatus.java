package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.entry.request.RequestDesk;
import org.cowslippick.fleet.membership.Membership;

/** What an entry says of itself to operators. */
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

    /** One entry as this one sees it. */
    record MemberStatus(String name, long incarnation, String callerAddress, String standing) {}

    static EntryStatus of(
            Instance self,
            Incarnation incarnation,
            long settingsRevision,
            RequestDesk desk,
            Membership membership,
            ImmutableList<PoolKey> pools) {
        return new EntryStatus(
                self.name().value(),
                incarnation.number(),
                self.failureDomain().name(),
                self.region().name(),
                desk.draining(),
                settingsRevision,
                desk.inFlight(),
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
