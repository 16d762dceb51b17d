package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.crash.CrashDetector;
import org.cowslippick.scheduler.quarantine.CrashId;
import org.cowslippick.scheduler.quarantine.CrashRecord;

/**
 * Spreads the evidence of crashes. Changed records are pushed along the same paths as reports. Digests, sent periodically
 * while there is any evidence, repair what was lost and bring new instances up to date.
 */
public final class CrashSynchroniser {

    /** Combines the records of one crash and the answers that clear them. */
    private static final Duration PUSH_DELAY = Duration.ofMillis(50);

    private static final Duration DIGEST_PERIOD = Duration.ofMillis(500);

    private final FleetMembership fleet;
    private final CrashDetector detector;
    private final TimerService timer;
    private final PeerNetwork network;
    private final Map<CrashId, CrashRecord> changed = new LinkedHashMap<>();

    /** Starts the exchange. */
    public CrashSynchroniser(FleetMembership fleet, CrashDetector detector, TimerService timer, PeerNetwork network) {
        this.fleet = fleet;
        this.detector = detector;
        this.timer = timer;
        this.network = network;
        detector.addLocalChangeListener(this::schedulePush);
        network.subscribe(CrashEvidence.class, this::received);
        timer.scheduleWithFixedDelay(DIGEST_PERIOD, this::sendDigest);
    }

    private void received(PeerIdentity sender, CrashEvidence evidence) {
        ImmutableList<CrashRecord> news = detector.merge(sender.name(), evidence.toRecords(timer.nanoTime()));
        if (fleet.forwardsState()) {
            schedulePush(news);
        }
        if (evidence.records().isEmpty() && evidence.digest() != detector.digest()) {
            network.send(sender.name(), evidence(detector.records()));
        }
    }

    private void schedulePush(ImmutableList<CrashRecord> records) {
        if (changed.isEmpty() && !records.isEmpty()) {
            timer.schedule(PUSH_DELAY, this::push);
        }
        records.forEach(record -> changed.put(record.id(), record));
    }

    private void push() {
        CrashEvidence evidence = evidence(changed.values());
        changed.clear();
        send(evidence);
    }

    private void sendDigest() {
        if (detector.digest() != 0) {
            send(evidence(ImmutableList.of()));
        }
    }

    private void send(CrashEvidence message) {
        fleet.reportReceivers().forEach(receiver -> network.send(receiver, message));
    }

    private CrashEvidence evidence(Collection<CrashRecord> records) {
        return CrashEvidence.of(detector.digest(), records, timer.nanoTime());
    }
}
