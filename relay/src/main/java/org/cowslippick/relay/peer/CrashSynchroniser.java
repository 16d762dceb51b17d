package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.crash.CrashDetector;

/**
 * Spreads the evidence of crashes. Changes are pushed along the same paths as reports; digests, sent periodically while
 * there is any evidence, repair what was lost and bring new instances up to date.
 */
public final class CrashSynchroniser {

    /** Combines the records of one crash, which are made within milliseconds. */
    private static final Duration PUSH_DELAY = Duration.ofMillis(20);

    private static final Duration DIGEST_PERIOD = Duration.ofMillis(500);

    /** Bounds the replies to one instance; longer than a round trip between regions. */
    private static final Duration MINIMUM_REPLY_INTERVAL = Duration.ofMillis(150);

    private final FleetMembership fleet;
    private final CrashDetector detector;
    private final TimerService timer;
    private final PeerNetwork network;
    private final Map<InstanceName, Long> repliedAtNanos = new HashMap<>();
    private boolean pushScheduled;

    /** Starts the exchange. */
    public CrashSynchroniser(FleetMembership fleet, CrashDetector detector, TimerService timer, PeerNetwork network) {
        this.fleet = fleet;
        this.detector = detector;
        this.timer = timer;
        this.network = network;
        detector.setLocalChangeListener(this::schedulePush);
        network.subscribe(CrashEvidence.class, this::received);
        timer.scheduleWithFixedDelay(DIGEST_PERIOD, this::sendDigest);
    }

    private void received(PeerIdentity sender, CrashEvidence evidence) {
        boolean isNew = detector.merge(sender.name(), evidence.toRecords(timer.nanoTime()));
        if (isNew && fleet.forwardsState()) {
            schedulePush();
        }
        if (evidence.digest() != detector.digest()) {
            reply(sender.name());
        }
    }

    private void reply(InstanceName peer) {
        long now = timer.nanoTime();
        Long repliedAt = repliedAtNanos.get(peer);
        if (repliedAt == null || now - repliedAt >= MINIMUM_REPLY_INTERVAL.toNanos()) {
            repliedAtNanos.put(peer, now);
            network.send(peer, evidence());
        }
    }

    private void schedulePush() {
        if (!pushScheduled) {
            pushScheduled = true;
            timer.schedule(PUSH_DELAY, this::push);
        }
    }

    private void push() {
        pushScheduled = false;
        send(evidence());
    }

    private void sendDigest() {
        if (detector.digest() != 0) {
            send(new CrashEvidence(detector.digest(), ImmutableList.of()));
        }
    }

    private void send(CrashEvidence message) {
        fleet.reportReceivers().forEach(receiver -> network.send(receiver, message));
    }

    private CrashEvidence evidence() {
        return CrashEvidence.of(detector.digest(), detector.records(), timer.nanoTime());
    }
}
