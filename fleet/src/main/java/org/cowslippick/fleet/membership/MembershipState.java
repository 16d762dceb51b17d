package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;

/**
 * Failure detection and gossip after SWIM (Das et al. 2002), without I/O and clock. Each period an entry probes at most
 * three entries of its region, and a delegate one entry of each other region; so it sends and answers about six
 * messages a period, however large the fleet is. Joins, departures and deaths are passed on at once. Only entries of
 * the same region call an entry dead, after a probe and a new connection failed and nobody refuted it in time.
 */
final class MembershipState {

    static final Duration PERIOD = Duration.ofMillis(500);
    static final Duration SUSPICION = Duration.ofMillis(1500);

    private final Instance self;
    private final MemberTable table = new MemberTable();
    private final Map<InstanceName, Long> suspectedSince = new HashMap<>();
    private final Set<InstanceName> unanswered = new HashSet<>();
    private final List<MembershipAction> actions = new ArrayList<>();
    private MemberRecord own;

    MembershipState(Instance self, Incarnation incarnation) {
        this.self = self;
        this.own = MemberRecord.live(self, incarnation);
        table.merge(own);
    }

    MemberTable table() {
        return table;
    }

    Incarnation incarnation() {
        return own.incarnation();
    }

    /** A period passed: judges the last probes and sends the next. */
    ImmutableList<MembershipAction> tick(long nowNanos) {
        unanswered.forEach(peer -> actions.add(new MembershipAction.Confirm(peer)));
        unanswered.clear();
        endSuspicions(nowNanos);
        neighbours().forEach(peer -> {
            unanswered.add(peer);
            actions.add(new MembershipAction.Send(peer, gossip(true, ImmutableList.of(own))));
        });
        return takeActions();
    }

    /** An entry that is listed but unknown, or known to be dead, is asked whether it lives. */
    ImmutableList<MembershipAction> contact(InstanceName listed) {
        ImmutableList<MemberRecord> known =
                table.find(listed).map(record -> ImmutableList.of(own, record)).orElseGet(() -> ImmutableList.of(own));
        actions.add(new MembershipAction.Send(listed, gossip(true, known)));
        return takeActions();
    }

    ImmutableList<MembershipAction> received(InstanceName sender, Gossip gossip, long nowNanos) {
        unanswered.remove(sender);
        ImmutableList<MemberRecord> news = gossip.records().stream()
                .filter(record -> learn(record, nowNanos))
                .collect(ImmutableList.toImmutableList());
        if (!news.isEmpty()) {
            spread(news, sender);
        }
        boolean differs = gossip.digest() != table.digest();
        if (gossip.probe()) {
            actions.add(
                    new MembershipAction.Send(sender, gossip(false, differs ? table.all() : ImmutableList.of(own))));
        } else if (differs && gossip.records().size() > 1) {
            actions.add(new MembershipAction.Send(sender, gossip(false, table.all())));
        }
        return takeActions();
    }

    /** A new connection to an entry that did not answer was tried. */
    ImmutableList<MembershipAction> confirmed(InstanceName peer, boolean alive, long nowNanos) {
        boolean judged = table.find(peer)
                .filter(record -> !record.gone() && !record.suspected())
                .filter(record -> record.instance().region().equals(self.region()))
                .isPresent();
        if (!alive && judged) {
            MemberRecord suspected = table.find(peer).orElseThrow().suspect();
            learn(suspected, nowNanos);
            spread(ImmutableList.of(suspected), peer);
        }
        return takeActions();
    }

    /** This entry takes no new work from now on. */
    ImmutableList<MembershipAction> leave() {
        own = own.leave();
        table.merge(own);
        spread(ImmutableList.of(own), self.name());
        return takeActions();
    }

    private boolean learn(MemberRecord record, long nowNanos) {
        if (record.name().equals(self.name())) {
            return learnOfSelf(record);
        }
        boolean changed = table.merge(record);
        MemberRecord merged = table.find(record.name()).orElseThrow();
        if (merged.suspected() && !merged.gone()) {
            suspectedSince.putIfAbsent(merged.name(), nowNanos);
        } else {
            suspectedSince.remove(merged.name());
        }
        return changed;
    }

    /** Refutes a suspicion; an entry that was called dead joins again as a new incarnation. */
    private boolean learnOfSelf(MemberRecord record) {
        int newer = record.incarnation().compareTo(own.incarnation());
        if (newer > 0 || (newer == 0 && record.gone())) {
            Incarnation next = new Incarnation(record.incarnation().number() + 1);
            MemberRecord renewed = MemberRecord.live(self, next);
            own = own.leaving() ? renewed.leave() : renewed;
        } else if (newer == 0 && record.suspected() && record.refutations() >= own.refutations()) {
            own = own.merge(record).refute();
        } else {
            return false;
        }
        table.merge(own);
        return true;
    }

    private void endSuspicions(long nowNanos) {
        ImmutableSet<InstanceName> over = suspectedSince.entrySet().stream()
                .filter(suspicion -> nowNanos - suspicion.getValue() >= SUSPICION.toNanos())
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
        over.forEach(name -> {
            suspectedSince.remove(name);
            table.find(name)
                    .filter(record -> record.instance().region().equals(self.region()))
                    .map(MemberRecord::end)
                    .filter(table::merge)
                    .ifPresent(dead -> spread(ImmutableList.of(dead), name));
        });
    }

    private void spread(ImmutableList<MemberRecord> news, InstanceName except) {
        ImmutableList<MemberRecord> current = news.stream()
                .map(record -> table.find(record.name()).orElse(record))
                .collect(ImmutableList.toImmutableList());
        neighbours().stream()
                .filter(peer -> !peer.equals(except))
                .forEach(peer -> actions.add(new MembershipAction.Send(peer, gossip(true, current))));
    }

    private ImmutableSet<InstanceName> neighbours() {
        return Neighbours.of(table, self.name(), self.region());
    }

    private Gossip gossip(boolean probe, ImmutableList<MemberRecord> records) {
        return new Gossip(probe, table.digest(), records);
    }

    private ImmutableList<MembershipAction> takeActions() {
        ImmutableList<MembershipAction> taken = ImmutableList.copyOf(actions);
        actions.clear();
        return taken;
    }
}
