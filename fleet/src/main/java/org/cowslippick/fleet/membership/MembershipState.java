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
 * Failure detection and gossip after SWIM (Das et al. 2002), as a state machine without I/O or clock. In each period an
 * entry probes at most three entries of its region. For each other region, one entry of the region, its delegate, also
 * probes one entry there. So an entry sends and acknowledges about six messages per period regardless of fleet size.
 * Joins, departures and deaths are disseminated immediately. Only entries of the same region declare an entry dead,
 * after a probe and a new connection have failed and the suspicion was not refuted in time.
 */
final class MembershipState {

    static final Duration PROBE_PERIOD = Duration.ofMillis(500);
    static final Duration SUSPICION_TIMEOUT = Duration.ofMillis(1500);

    private final Instance self;
    private final MemberTable table = new MemberTable();
    private final Map<InstanceName, Long> suspectedSince = new HashMap<>();
    private final Set<InstanceName> unansweredProbes = new HashSet<>();
    private final List<MembershipAction> actions = new ArrayList<>();
    private MemberRecord ownRecord;

    MembershipState(Instance self, Incarnation incarnation) {
        this.self = self;
        this.ownRecord = MemberRecord.live(self, incarnation);
        table.merge(ownRecord);
    }

    MemberTable table() {
        return table;
    }

    Incarnation incarnation() {
        return ownRecord.incarnation();
    }

    /** Runs once per period: checks entries that did not answer the last probes, and sends the next probes. */
    ImmutableList<MembershipAction> tick(long nowNanos) {
        unansweredProbes.forEach(peer -> actions.add(new MembershipAction.ProbeConnection(peer)));
        unansweredProbes.clear();
        expireSuspicions(nowNanos);
        neighbours().forEach(peer -> {
            unansweredProbes.add(peer);
            actions.add(new MembershipAction.Send(peer, gossip(true, ImmutableList.of(ownRecord))));
        });
        return drainActions();
    }

    /** Probes an entry that is on the instance list, but unknown or recorded as dead. */
    ImmutableList<MembershipAction> probeListed(InstanceName listed) {
        ImmutableList<MemberRecord> records = table.find(listed)
                .map(record -> ImmutableList.of(ownRecord, record))
                .orElseGet(() -> ImmutableList.of(ownRecord));
        actions.add(new MembershipAction.Send(listed, gossip(true, records)));
        return drainActions();
    }

    ImmutableList<MembershipAction> handleGossip(InstanceName sender, Gossip gossip, long nowNanos) {
        unansweredProbes.remove(sender);
        ImmutableList<MemberRecord> updates = gossip.records().stream()
                .filter(record -> mergeRecord(record, nowNanos))
                .collect(ImmutableList.toImmutableList());
        if (!updates.isEmpty()) {
            disseminate(updates, sender);
        }
        boolean differs = gossip.digest() != table.digest();
        if (gossip.probe()) {
            actions.add(new MembershipAction.Send(
                    sender, gossip(false, differs ? table.allRecords() : ImmutableList.of(ownRecord))));
        } else if (differs && gossip.records().size() > 1) {
            actions.add(new MembershipAction.Send(sender, gossip(false, table.allRecords())));
        }
        return drainActions();
    }

    /** Handles the outcome of a {@link MembershipAction.ProbeConnection}. */
    ImmutableList<MembershipAction> handleConnectionProbe(InstanceName peer, boolean isAlive, long nowNanos) {
        boolean canSuspect = table.find(peer)
                .filter(record -> !record.gone() && !record.suspected())
                .filter(record -> record.instance().region().equals(self.region()))
                .isPresent();
        if (!isAlive && canSuspect) {
            MemberRecord suspected = table.find(peer).orElseThrow().asSuspected();
            mergeRecord(suspected, nowNanos);
            disseminate(ImmutableList.of(suspected), peer);
        }
        return drainActions();
    }

    /** Announces that this entry accepts no new work. */
    ImmutableList<MembershipAction> leave() {
        ownRecord = ownRecord.asLeaving();
        table.merge(ownRecord);
        disseminate(ImmutableList.of(ownRecord), self.name());
        return drainActions();
    }

    private boolean mergeRecord(MemberRecord record, long nowNanos) {
        if (record.name().equals(self.name())) {
            return mergeOwnRecord(record);
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

    /** Refutes a suspicion of this entry; if it was declared dead, it rejoins as a new incarnation. */
    private boolean mergeOwnRecord(MemberRecord record) {
        int comparison = record.incarnation().compareTo(ownRecord.incarnation());
        if (comparison > 0 || (comparison == 0 && record.gone())) {
            Incarnation next = new Incarnation(record.incarnation().number() + 1);
            MemberRecord renewed = MemberRecord.live(self, next);
            ownRecord = ownRecord.leaving() ? renewed.asLeaving() : renewed;
        } else if (comparison == 0 && record.suspected() && record.refutations() >= ownRecord.refutations()) {
            ownRecord = ownRecord.merge(record).asRefuted();
        } else {
            return false;
        }
        table.merge(ownRecord);
        return true;
    }

    private void expireSuspicions(long nowNanos) {
        ImmutableSet<InstanceName> expired = suspectedSince.entrySet().stream()
                .filter(suspicion -> nowNanos - suspicion.getValue() >= SUSPICION_TIMEOUT.toNanos())
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
        expired.forEach(name -> {
            suspectedSince.remove(name);
            table.find(name)
                    .filter(record -> record.instance().region().equals(self.region()))
                    .map(MemberRecord::asGone)
                    .filter(table::merge)
                    .ifPresent(dead -> disseminate(ImmutableList.of(dead), name));
        });
    }

    private void disseminate(ImmutableList<MemberRecord> updates, InstanceName except) {
        ImmutableList<MemberRecord> current = updates.stream()
                .map(record -> table.find(record.name()).orElse(record))
                .collect(ImmutableList.toImmutableList());
        neighbours().stream()
                .filter(peer -> !peer.equals(except))
                .forEach(peer -> actions.add(new MembershipAction.Send(peer, gossip(true, current))));
    }

    private ImmutableSet<InstanceName> neighbours() {
        return Neighbours.select(table, self.name(), self.region());
    }

    private Gossip gossip(boolean probe, ImmutableList<MemberRecord> records) {
        return new Gossip(probe, table.digest(), records);
    }

    private ImmutableList<MembershipAction> drainActions() {
        ImmutableList<MembershipAction> drained = ImmutableList.copyOf(actions);
        actions.clear();
        return drained;
    }
}
