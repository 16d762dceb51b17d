package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.ownership.Ownership;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.InFlightAttempt;
import org.cowslippick.scheduler.pool.PoolDecisions;
import org.cowslippick.scheduler.pool.PoolScheduler;
import org.cowslippick.scheduler.pool.Refusal;

/**
 * Serves grants of the pools that this entry owns. All state can be rebuilt from the entries: whenever messages may
 * have been lost, an entry sends all its requests and attempts in the pool again, followed by a {@link Resync}.
 */
final class GrantOwner implements DecisionListener {

    /** How long the attempts in flight of a pool taken over from another owner are collected before the first grant. */
    static final Duration TAKEOVER_PAUSE = Duration.ofMillis(250);

    /** How long the requests of an entry are kept that is not a member any more, or not yet. */
    private static final Duration ABSENCE_LIMIT = Duration.ofSeconds(2);

    private final TimerService timer;
    private final GrantTransport transport;
    private final PoolHost host;
    private final BiConsumer<PeerIdentity, PoolMessage> toLocalEntry;
    private final Map<PoolKey, OwnedPoolState> states = new ConcurrentHashMap<>();
    private final OwnershipTransitions transitions;

    GrantOwner(
            TimerService timer,
            Executor executor,
            PoolFactory factory,
            GrantTransport transport,
            BiConsumer<PeerIdentity, PoolMessage> toLocalEntry) {
        this.timer = timer;
        this.transport = transport;
        this.toLocalEntry = toLocalEntry;
        this.host = new PoolHost(timer, executor, factory, this);
        this.transitions = new OwnershipTransitions(timer, TAKEOVER_PAUSE);
    }

    PoolHost host() {
        return host;
    }

    /** Handles a message of an entry; those that could cause a grant wait for the end of a takeover pause. */
    void receive(PeerIdentity sender, PoolMessage message) {
        if (message instanceof Offer offer) {
            transitions.runAfterTakeoverPause(offer.pool(), () -> offer(sender, offer));
        } else if (message instanceof Withdrawal withdrawal) {
            transitions.runAfterTakeoverPause(
                    withdrawal.pool(),
                    () -> step(withdrawal.pool(), (state, scheduler, now) -> {
                        state.removeRequest(withdrawal.request());
                        return scheduler.withdraw(withdrawal.request(), now);
                    }));
        } else if (message instanceof Report report) {
            step(report.pool(), (state, scheduler, now) -> report(report.report(), state, scheduler, now));
        } else if (message instanceof Adoption adoption) {
            step(adoption.pool(), (state, scheduler, now) -> adopt(sender, adoption, state, scheduler, now));
        } else if (message instanceof Resync resync) {
            transitions.runAfterTakeoverPause(
                    resync.pool(),
                    () -> step(
                            resync.pool(), (state, scheduler, now) -> resync(sender, resync, state, scheduler, now)));
        }
    }

    @Override
    public void granted(PoolKey pool, Grant grant) {
        OwnedPoolState state = state(pool);
        state.recordGrant(grant);
        send(pool, grant.entry(), new Granted(pool, grant, state.epoch()));
    }

    @Override
    public void refused(PoolKey pool, Refusal refusal) {
        OwnedPoolState state = state(pool);
        if (state.outstandingGrants(refusal.request()).isEmpty()) {
            state.removeRequest(refusal.request());
        }
        send(pool, refusal.entry(), new Refused(pool, refusal.request(), refusal.failure(), state.epoch()));
    }

    /** Marks the entry for a resync in all pools, as messages to it may have been lost. */
    void disconnected(InstanceName entry) {
        states.keySet()
                .forEach(pool -> step(pool, (state, _scheduler, _now) -> {
                    if (state.hasRequestsOf(entry)) {
                        state.markForResync(entry);
                    }
                    return PoolDecisions.NONE;
                }));
    }

    /** Withdraws the requests of incarnations that are no longer members, and records changes of ownership. */
    void membershipChanged(Membership before, Membership after) {
        ImmutableSet<PeerIdentity> departed = before.members().values().stream()
                .filter(member -> after.find(member.name())
                        .filter(kept -> kept.incarnation().equals(member.incarnation()))
                        .isEmpty())
                .map(member -> new PeerIdentity(member.name(), member.incarnation(), member.region()))
                .collect(ImmutableSet.toImmutableSet());
        if (!departed.isEmpty()) {
            states.keySet().forEach(pool -> withdrawRequestsOf(pool, departed));
        }
        transitions.recordChange(transport.self().name(), new Ownership(before), new Ownership(after));
    }

    /** Requests resyncs where messages may have been lost, and closes pools not owned here for some time. */
    void tick(Membership membership, Ownership ownership) {
        states.keySet().forEach(pool -> {
            step(pool, (state, scheduler, now) -> {
                ImmutableSet<InstanceName> absent = state.longAbsentEntries(
                        entry -> membership.find(entry).isPresent(), now, ABSENCE_LIMIT.toNanos());
                PoolDecisions decisions =
                        withdrawRequests(entry -> absent.contains(entry.name()), state, scheduler, now);
                absent.forEach(state::markForResync);
                state.takeEntriesToResync().forEach(entry -> send(pool, entry, new ResyncRequest(pool)));
                return decisions;
            });
            boolean isOwned = ownership
                    .ownerOf(pool)
                    .filter(owner -> owner.name().equals(transport.self().name()))
                    .isPresent();
            if (transitions.isReleaseDue(pool, isOwned)) {
                states.remove(pool);
                host.close(pool);
            }
        });
    }

    private void offer(PeerIdentity sender, Offer offer) {
        step(offer.pool(), (state, scheduler, now) -> {
            state.observeEpoch(offer.newestEpoch());
            PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
            endUsedGrants(offer, state, scheduler, now, decisions);
            RequestId request = offer.request().id();
            if (state.addRequest(request, sender)) {
                state.advancePastEpoch(offer.used().epoch());
                decisions.add(
                        scheduler.offer(DescriptorCodec.withArrival(offer.request(), now - offer.ageNanos()), now));
            } else {
                state.outstandingGrants(request).forEach(outstanding -> granted(offer.pool(), outstanding.grant()));
            }
            return decisions.build();
        });
    }

    /** Ends attempts whose grants the entry used although it waits again: the reports of their ends were lost. */
    private static void endUsedGrants(
            Offer offer, OwnedPoolState state, PoolScheduler scheduler, long now, PoolDecisionsBuilder decisions) {
        state.outstandingGrants(offer.request().id()).stream()
                .filter(outstanding -> outstanding.number().compareTo(offer.used()) <= 0)
                .forEach(outstanding -> {
                    state.recordEnd(
                            outstanding.grant().request(), outstanding.grant().endpoint(), false);
                    decisions.add(scheduler.report(cancelled(outstanding.grant()), now));
                });
    }

    private static PoolDecisions report(
            DispatchReport report, OwnedPoolState state, PoolScheduler scheduler, long now) {
        if (report.phase().hasEnded()) {
            state.recordEnd(report.request(), report.endpoint(), report.retryWanted());
        }
        return scheduler.report(report, now);
    }

    private static PoolDecisions adopt(
            PeerIdentity sender, Adoption adoption, OwnedPoolState state, PoolScheduler scheduler, long now) {
        RequestId request = adoption.request().id();
        state.addRequest(request, sender);
        state.recordGrant(
                new Grant(request, sender.name(), adoption.endpoint(), adoption.attempt(), Grant.Reason.FIRST));
        return scheduler.adopt(
                new InFlightAttempt(
                        DescriptorCodec.withArrival(adoption.request(), now - adoption.ageNanos()),
                        adoption.endpoint(),
                        adoption.attempt(),
                        now - adoption.dispatchAgeNanos()),
                now);
    }

    private static PoolDecisions resync(
            PeerIdentity sender, Resync resync, OwnedPoolState state, PoolScheduler scheduler, long now) {
        state.observeEpoch(resync.newestEpoch());
        ImmutableSet<Resync.AttemptKey> listed = ImmutableSet.copyOf(resync.inFlight());
        ImmutableSet.Builder<RequestId> repeatedBuilder = ImmutableSet.builder();
        repeatedBuilder.addAll(resync.waiting());
        listed.forEach(attempt -> repeatedBuilder.add(attempt.request()));
        ImmutableSet<RequestId> repeated = repeatedBuilder.build();
        PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
        state.unlistedGrants(sender.name(), listed).forEach(grant -> {
            state.recordEnd(grant.request(), grant.endpoint(), false);
            decisions.add(scheduler.report(cancelled(grant), now));
        });
        state.requestsOf(entry -> entry.name().equals(sender.name())).stream()
                .filter(request -> !repeated.contains(request))
                .forEach(request -> {
                    state.removeRequest(request);
                    decisions.add(scheduler.withdraw(request, now));
                });
        return decisions.build();
    }

    private void withdrawRequestsOf(PoolKey pool, ImmutableSet<PeerIdentity> departed) {
        step(pool, (state, scheduler, now) -> withdrawRequests(departed::contains, state, scheduler, now));
    }

    private static PoolDecisions withdrawRequests(
            Predicate<PeerIdentity> entry, OwnedPoolState state, PoolScheduler scheduler, long now) {
        PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
        state.requestsOf(entry).forEach(request -> {
            state.removeRequest(request);
            decisions.add(scheduler.withdraw(request, now));
        });
        return decisions.build();
    }

    private void send(PoolKey pool, InstanceName entry, PoolMessage message) {
        boolean sent = transport.send(entry, message, local -> toLocalEntry.accept(transport.self(), local));
        if (!sent) {
            state(pool).markForResync(entry);
        }
    }

    private void step(PoolKey pool, PoolStep step) {
        host.step(pool, (scheduler, now) -> step.apply(state(pool), scheduler, now));
    }

    private OwnedPoolState state(PoolKey pool) {
        return states.computeIfAbsent(
                pool, _pool -> new OwnedPoolState(timer.now().toEpochMilli()));
    }

    private static DispatchReport cancelled(Grant grant) {
        return new DispatchReport(grant.request(), grant.endpoint(), DispatchPhase.CANCELLED, 0, 0, 0, false);
    }

    @FunctionalInterface
    private interface PoolStep {
        PoolDecisions apply(OwnedPoolState state, PoolScheduler scheduler, long nowNanos);
    }
}
