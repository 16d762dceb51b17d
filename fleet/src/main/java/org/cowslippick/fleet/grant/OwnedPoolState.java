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

/**
 * The owner's state of one pool apart from the scheduler: which entry offered each request, and which of its grants are
 * outstanding. Confined to the pool's executor.
 */
final class OwnedPoolState {

    private final Map<RequestId, OfferedRequest> requests = new LinkedHashMap<>();
    private final Map<InstanceName, Long> absentSinceNanos = new HashMap<>();
    private final Set<InstanceName> entriesToResync = new HashSet<>();
    private long epoch;

    OwnedPoolState(long epoch) {
        this.epoch = epoch;
    }

    long epoch() {
        return epoch;
    }

    /** Raises the epoch above that of an earlier owner, which an entry has seen. */
    void observeEpoch(long seenEpoch) {
        epoch = seenEpoch > epoch ? seenEpoch + 1 : epoch;
    }

    /** Raises the epoch above that of a used grant: attempts count from 1 again, and new grants must be newer. */
    void advancePastEpoch(long usedEpoch) {
        epoch = Math.max(epoch, usedEpoch + 1);
    }

    /** Adds a request; returns false if it is known already. */
    boolean addRequest(RequestId request, PeerIdentity entry) {
        return requests.putIfAbsent(request, new OfferedRequest(entry)) == null;
    }

    void removeRequest(RequestId request) {
        requests.remove(request);
    }

    /** Records a grant that is sent now, for the first time or again. */
    void recordGrant(Grant grant) {
        putGrant(grant, new GrantNumber(epoch, grant.attempt()));
    }

    /** Records an attempt that the entry has in flight, whichever owner granted it. */
    void recordAdoption(Grant grant) {
        putGrant(grant, GrantNumber.NONE);
    }

    private void putGrant(Grant grant, GrantNumber number) {
        Optional.ofNullable(requests.get(grant.request()))
                .ifPresent(request -> request.grants.put(grant.endpoint(), new NumberedGrant(grant, number)));
    }

    /** Records the end of an attempt; the request is removed with its last attempt unless it is to be retried. */
    void recordEnd(RequestId id, EndpointName endpoint, boolean retryWanted) {
        Optional.ofNullable(requests.get(id)).ifPresent(request -> {
            request.grants.remove(endpoint);
            if (request.grants.isEmpty() && !retryWanted) {
                requests.remove(id);
            }
        });
    }

    /** The grants of a request whose attempts have not ended. */
    ImmutableList<NumberedGrant> outstandingGrants(RequestId id) {
        return Optional.ofNullable(requests.get(id))
                .map(request -> ImmutableList.copyOf(request.grants.values()))
                .orElseGet(ImmutableList::of);
    }

    ImmutableList<RequestId> requestsOf(Predicate<PeerIdentity> entry) {
        return requests.entrySet().stream()
                .filter(request -> entry.test(request.getValue().entry))
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
    }

    /** Entries with requests here that have not been members for longer than the limit. */
    ImmutableSet<InstanceName> longAbsentEntries(Predicate<InstanceName> isMember, long nowNanos, long limitNanos) {
        ImmutableSet<InstanceName> absent = requests.values().stream()
                .map(request -> request.entry.name())
                .filter(isMember.negate())
                .collect(ImmutableSet.toImmutableSet());
        absentSinceNanos.keySet().retainAll(absent);
        absent.forEach(entry -> absentSinceNanos.putIfAbsent(entry, nowNanos));
        return absent.stream()
                .filter(entry -> nowNanos - absentSinceNanos.get(entry) > limitNanos)
                .collect(ImmutableSet.toImmutableSet());
    }

    boolean hasRequestsOf(InstanceName entry) {
        return requests.values().stream()
                .anyMatch(request -> request.entry.name().equals(entry));
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Marks an entry to which messages may have been lost for a resync. */
    void markForResync(InstanceName entry) {
        entriesToResync.add(entry);
    }

    /** Returns the entries marked for a resync and clears the marks. */
    ImmutableSet<InstanceName> takeEntriesToResync() {
        ImmutableSet<InstanceName> taken = ImmutableSet.copyOf(entriesToResync);
        entriesToResync.clear();
        return taken;
    }

    /** Attempts granted to the entry that it does not list although it lists another attempt of the same request. */
    ImmutableList<Grant> unlistedGrants(InstanceName entry, ImmutableSet<Resync.AttemptKey> listed) {
        ImmutableSet<RequestId> running =
                listed.stream().map(Resync.AttemptKey::request).collect(ImmutableSet.toImmutableSet());
        return requests.entrySet().stream()
                .filter(request -> request.getValue().entry.name().equals(entry))
                .filter(request -> running.contains(request.getKey()))
                .flatMap(request -> request.getValue().unlistedGrants(listed))
                .collect(ImmutableList.toImmutableList());
    }

    /** A grant with the number under which it was sent last. */
    record NumberedGrant(Grant grant, GrantNumber number) {}

    private static final class OfferedRequest {
        private final PeerIdentity entry;
        private final Map<EndpointName, NumberedGrant> grants = new HashMap<>();

        OfferedRequest(PeerIdentity entry) {
            this.entry = entry;
        }

        Stream<Grant> unlistedGrants(ImmutableSet<Resync.AttemptKey> listed) {
            return grants.values().stream()
                    .map(NumberedGrant::grant)
                    .filter(grant -> !listed.contains(new Resync.AttemptKey(grant.request(), grant.endpoint())));
        }
    }
}
