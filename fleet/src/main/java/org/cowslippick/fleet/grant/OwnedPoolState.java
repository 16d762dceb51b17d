package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.scheduler.pool.Grant;

/** What the owner of one pool holds for which entry, beside the scheduler; used by the pool's thread only. */
final class OwnedPoolState {

    private final Map<RequestId, Holding> holdings = new LinkedHashMap<>();
    private final Map<InstanceName, Long> absentSince = new HashMap<>();
    private final Set<InstanceName> unsure = new HashSet<>();
    private long epoch;

    OwnedPoolState(long epoch) {
        this.epoch = epoch;
    }

    long epoch() {
        return epoch;
    }

    /** Moves past the epoch of an earlier owner that an entry has seen. */
    void raise(long seenEpoch) {
        epoch = seenEpoch > epoch ? seenEpoch + 1 : epoch;
    }

    /** Moves past an epoch, so that grants counted from 1 again are newer than those given in it. */
    void raiseAbove(long usedEpoch) {
        epoch = Math.max(epoch, usedEpoch + 1);
    }

    /** Notes a request; false if it is known already. */
    boolean add(RequestId request, PeerIdentity entry) {
        return holdings.putIfAbsent(request, new Holding(entry)) == null;
    }

    void remove(RequestId request) {
        holdings.remove(request);
    }

    /** Notes a grant that is given now, or again. */
    void granted(Grant grant) {
        note(grant, new GrantNumber(epoch, grant.attempt()));
    }

    /** Notes an attempt that the entry has in flight, whoever granted it. */
    void adopted(Grant grant) {
        note(grant, GrantNumber.NONE);
    }

    private void note(Grant grant, GrantNumber number) {
        Optional.ofNullable(holdings.get(grant.request()))
                .ifPresent(holding -> holding.grants.put(grant.endpoint(), new Given(grant, number)));
    }

    /** Notes the end of an attempt; the request is forgotten with its last one unless it is to be retried. */
    void ended(RequestId request, EndpointName endpoint, boolean retryWanted) {
        Optional.ofNullable(holdings.get(request)).ifPresent(holding -> {
            holding.grants.remove(endpoint);
            if (holding.grants.isEmpty() && !retryWanted) {
                holdings.remove(request);
            }
        });
    }

    /** The grants of a request that were given and have not ended. */
    ImmutableList<Given> grants(RequestId request) {
        return Optional.ofNullable(holdings.get(request))
                .map(holding -> ImmutableList.copyOf(holding.grants.values()))
                .orElseGet(ImmutableList::of);
    }

    /** Requests of entries that match. */
    ImmutableList<RequestId> requestsOf(Predicate<PeerIdentity> entry) {
        return holdings.entrySet().stream()
                .filter(holding -> entry.test(holding.getValue().entry))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** Entries with requests here that have been outside of the fleet for longer than the limit. */
    ImmutableSet<InstanceName> longAbsent(Predicate<InstanceName> member, long nowNanos, long limitNanos) {
        ImmutableSet<InstanceName> absent = holdings.values().stream()
                .map(holding -> holding.entry.name())
                .filter(member.negate())
                .collect(ImmutableSet.toImmutableSet());
        absentSince.keySet().retainAll(absent);
        absent.forEach(entry -> absentSince.putIfAbsent(entry, nowNanos));
        return absent.stream()
                .filter(entry -> nowNanos - absentSince.get(entry) > limitNanos)
                .collect(ImmutableSet.toImmutableSet());
    }

    boolean holdsFor(InstanceName entry) {
        return holdings.values().stream()
                .anyMatch(holding -> holding.entry.name().equals(entry));
    }

    boolean isEmpty() {
        return holdings.isEmpty();
    }

    /** Notes that messages to the entry may have been lost. */
    void markUnsure(InstanceName entry) {
        unsure.add(entry);
    }

    /** The entries that must be asked to repeat what they have, each returned once. */
    ImmutableSet<InstanceName> takeUnsure() {
        ImmutableSet<InstanceName> taken = ImmutableSet.copyOf(unsure);
        unsure.clear();
        return taken;
    }

    /** Attempts granted to the entry that it does not list although it lists another attempt of the same request. */
    ImmutableList<Grant> missing(InstanceName entry, ImmutableSet<Resync.AttemptKey> listed) {
        ImmutableSet<RequestId> running =
                listed.stream().map(Resync.AttemptKey::request).collect(ImmutableSet.toImmutableSet());
        return holdings.entrySet().stream()
                .filter(holding -> holding.getValue().entry.name().equals(entry))
                .filter(holding -> running.contains(holding.getKey()))
                .flatMap(holding -> holding.getValue().unlisted(listed))
                .collect(ImmutableList.toImmutableList());
    }

    /** A grant with the number under which it was sent last. */
    record Given(Grant grant, GrantNumber number) {}

    private static final class Holding {
        private final PeerIdentity entry;
        private final Map<EndpointName, Given> grants = new HashMap<>();

        Holding(PeerIdentity entry) {
            this.entry = entry;
        }

        Stream<Grant> unlisted(ImmutableSet<Resync.AttemptKey> listed) {
            return grants.values().stream()
                    .map(Given::grant)
                    .filter(grant -> !listed.contains(new Resync.AttemptKey(grant.request(), grant.endpoint())));
        }
    }
}
