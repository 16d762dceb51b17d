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
import org.cowslippick.scheduler.pool.InFlight;
import org.cowslippick.scheduler.pool.PoolDecisions;
import org.cowslippick.scheduler.pool.PoolScheduler;
import org.cowslippick.scheduler.pool.Refusal;

/**
 * Answers the entries for the pools that this entry owns. It keeps nothing that the entries could not repeat: whenever
 * messages may have been lost, the entry repeats what it has in the pool, and both sides agree again.
 */
final class GrantOwner implements DecisionListener {

    /** How long a pool taken over from another owner collects what is in flight before it grants. */
    static final Duration TAKEOVER_PAUSE = Duration.ofMillis(250);

    /** How long requests of an entry that is not in the fleet, or not yet, are kept. */
    private static final Duration ABSENCE_LIMIT = Duration.ofSeconds(2);

    private final TimerService timer;
    private final GrantTransport transport;
    private final PoolHost host;
    private final BiConsumer<PeerIdentity, PoolMessage> toLocalEntry;
    private final Map<PoolKey, OwnedPoolState> ledgers = new ConcurrentHashMap<>();
    private final OwnershipTransitions takeovers;

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
        this.takeovers = new OwnershipTransitions(timer, TAKEOVER_PAUSE);
    }

    PoolHost host() {
        return host;
    }

    /** A message of an entry to the owner. */
    void receive(PeerIdentity sender, PoolMessage message) {
        if (message instanceof Offer offer) {
            takeovers.whenSettled(offer.pool(), () -> offer(sender, offer));
        } else if (message instanceof Withdrawal withdrawal) {
            takeovers.whenSettled(
                    withdrawal.pool(),
                    () -> step(withdrawal.pool(), (ledger, scheduler, now) -> {
                        ledger.remove(withdrawal.request());
                        return scheduler.withdraw(withdrawal.request(), now);
                    }));
        } else if (message instanceof Report report) {
            step(report.pool(), (ledger, scheduler, now) -> report(report.report(), ledger, scheduler, now));
        } else if (message instanceof Adoption adoption) {
            step(adoption.pool(), (ledger, scheduler, now) -> adopt(sender, adoption, ledger, scheduler, now));
        } else if (message instanceof Resync resync) {
            takeovers.whenSettled(
                    resync.pool(),
                    () -> step(
                            resync.pool(), (ledger, scheduler, now) -> resync(sender, resync, ledger, scheduler, now)));
        }
    }

    @Override
    public void granted(PoolKey pool, Grant grant) {
        OwnedPoolState ledger = ledger(pool);
        ledger.granted(grant);
        tell(pool, grant.entry(), new Granted(pool, grant, ledger.epoch()));
    }

    @Override
    public void refused(PoolKey pool, Refusal refusal) {
        OwnedPoolState ledger = ledger(pool);
        if (ledger.grants(refusal.request()).isEmpty()) {
            ledger.remove(refusal.request());
        }
        tell(pool, refusal.entry(), new Refused(pool, refusal.request(), refusal.failure(), ledger.epoch()));
    }

    /** Messages to the entry may have been lost. */
    void lost(InstanceName entry) {
        ledgers.keySet()
                .forEach(pool -> step(pool, (ledger, _scheduler, _now) -> {
                    if (ledger.holdsFor(entry)) {
                        ledger.markUnsure(entry);
                    }
                    return PoolDecisions.NONE;
                }));
    }

    /** The view of the fleet changed: what dead entries had is given up, and pools of others are let go. */
    void changed(Membership before, Membership after) {
        ImmutableSet<PeerIdentity> gone = before.members().values().stream()
                .filter(member -> after.find(member.name())
                        .filter(kept -> kept.incarnation().equals(member.incarnation()))
                        .isEmpty())
                .map(member -> new PeerIdentity(member.name(), member.incarnation(), member.region()))
                .collect(ImmutableSet.toImmutableSet());
        if (!gone.isEmpty()) {
            ledgers.keySet().forEach(pool -> withdrawAll(pool, gone));
        }
        takeovers.changed(transport.self().name(), new Ownership(before), new Ownership(after));
    }

    /** Asks entries to repeat what they have where messages were lost, and lets go empty pools of other owners. */
    void tick(Membership membership, Ownership ownership) {
        ledgers.keySet().forEach(pool -> {
            step(pool, (ledger, scheduler, now) -> {
                ImmutableSet<InstanceName> absent =
                        ledger.longAbsent(entry -> membership.find(entry).isPresent(), now, ABSENCE_LIMIT.toNanos());
                PoolDecisions decisions = withdraw(entry -> absent.contains(entry.name()), ledger, scheduler, now);
                absent.forEach(ledger::markUnsure);
                ledger.takeUnsure().forEach(entry -> tell(pool, entry, new ResyncRequest(pool)));
                return decisions;
            });
            boolean mine = ownership
                    .ownerOf(pool)
                    .filter(owner -> owner.name().equals(transport.self().name()))
                    .isPresent();
            if (takeovers.longReleased(pool, mine)) {
                ledgers.remove(pool);
                host.close(pool);
            }
        });
    }

    private void offer(PeerIdentity sender, Offer offer) {
        step(offer.pool(), (ledger, scheduler, now) -> {
            ledger.raise(offer.newestEpoch());
            PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
            endUsed(offer, ledger, scheduler, now, decisions);
            RequestId request = offer.request().id();
            if (ledger.add(request, sender)) {
                ledger.raiseAbove(offer.used().epoch());
                decisions.add(scheduler.offer(DescriptorCodec.arrivedAt(offer.request(), now - offer.ageNanos()), now));
            } else {
                ledger.grants(request).forEach(given -> granted(offer.pool(), given.grant()));
            }
            return decisions.build();
        });
    }

    /** Ends attempts whose grants the entry used although it waits again: the reports of their ends were lost. */
    private static void endUsed(Offer offer, OwnedPoolState ledger, PoolScheduler scheduler, long now, PoolDecisionsBuilder decisions) {
        ledger.grants(offer.request().id()).stream()
                .filter(given -> given.number().compareTo(offer.used()) <= 0)
                .forEach(given -> {
                    ledger.ended(given.grant().request(), given.grant().endpoint(), false);
                    decisions.add(scheduler.report(unused(given.grant()), now));
                });
    }

    private static PoolDecisions report(DispatchReport report, OwnedPoolState ledger, PoolScheduler scheduler, long now) {
        if (report.phase().ended()) {
            ledger.ended(report.request(), report.endpoint(), report.retryWanted());
        }
        return scheduler.report(report, now);
    }

    private static PoolDecisions adopt(
            PeerIdentity sender, Adoption adoption, OwnedPoolState ledger, PoolScheduler scheduler, long now) {
        RequestId request = adoption.request().id();
        ledger.add(request, sender);
        ledger.granted(new Grant(request, sender.name(), adoption.endpoint(), adoption.attempt(), Grant.Reason.FIRST));
        return scheduler.adopt(
                new InFlight(
                        DescriptorCodec.arrivedAt(adoption.request(), now - adoption.ageNanos()),
                        adoption.endpoint(),
                        adoption.attempt(),
                        now - adoption.dispatchAgeNanos()),
                now);
    }

    private static PoolDecisions resync(
            PeerIdentity sender, Resync resync, OwnedPoolState ledger, PoolScheduler scheduler, long now) {
        ledger.raise(resync.newestEpoch());
        ImmutableSet<Resync.AttemptKey> listed = ImmutableSet.copyOf(resync.inFlight());
        ImmutableSet.Builder<RequestId> known = ImmutableSet.builder();
        known.addAll(resync.waiting());
        listed.forEach(attempt -> known.add(attempt.request()));
        ImmutableSet<RequestId> repeated = known.build();
        PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
        ledger.missing(sender.name(), listed).forEach(grant -> {
            ledger.ended(grant.request(), grant.endpoint(), false);
            decisions.add(scheduler.report(unused(grant), now));
        });
        ledger.requestsOf(entry -> entry.name().equals(sender.name())).stream()
                .filter(request -> !repeated.contains(request))
                .forEach(request -> {
                    ledger.remove(request);
                    decisions.add(scheduler.withdraw(request, now));
                });
        return decisions.build();
    }

    private void withdrawAll(PoolKey pool, ImmutableSet<PeerIdentity> gone) {
        step(pool, (ledger, scheduler, now) -> withdraw(gone::contains, ledger, scheduler, now));
    }

    private static PoolDecisions withdraw(
            Predicate<PeerIdentity> entry, OwnedPoolState ledger, PoolScheduler scheduler, long now) {
        PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
        ledger.requestsOf(entry).forEach(request -> {
            ledger.remove(request);
            decisions.add(scheduler.withdraw(request, now));
        });
        return decisions.build();
    }

    private void tell(PoolKey pool, InstanceName entry, PoolMessage message) {
        boolean sent = transport.send(entry, message, local -> toLocalEntry.accept(transport.self(), local));
        if (!sent) {
            ledger(pool).markUnsure(entry);
        }
    }

    private void step(PoolKey pool, PoolStep step) {
        host.step(pool, (scheduler, now) -> step.apply(ledger(pool), scheduler, now));
    }

    private OwnedPoolState ledger(PoolKey pool) {
        return ledgers.computeIfAbsent(pool, _pool -> new OwnedPoolState(timer.now().toEpochMilli()));
    }

    private static DispatchReport unused(Grant grant) {
        return new DispatchReport(grant.request(), grant.endpoint(), DispatchPhase.CANCELLED, 0, 0, 0, false);
    }

    @FunctionalInterface
    private interface PoolStep {
        PoolDecisions apply(OwnedPoolState ledger, PoolScheduler scheduler, long nowNanos);
    }
}
