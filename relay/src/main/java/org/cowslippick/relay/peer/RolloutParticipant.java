package org.cowslippick.relay.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.jboss.logging.Logger;

/** Applies the plans of deciders to the queues of this instance, and tells the deciders what these have counted. */
final class RolloutParticipant {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.rollout");
    private static final Duration EVIDENCE_PERIOD = Duration.ofMillis(250);

    /** Without a plan for so long, its decider is taken to be lost and gets no more evidence. */
    private static final Duration DECIDER_TIMEOUT = Duration.ofSeconds(5);

    private final LocalSlotQueues localQueues;
    private final TimerService timer;
    private final PeerNetwork network;
    private final Map<ServiceName, Decider> deciders = new HashMap<>();

    RolloutParticipant(LocalSlotQueues localQueues, TimerService timer, PeerNetwork network) {
        this.localQueues = localQueues;
        this.timer = timer;
        this.network = network;
        localQueues.enableRollouts();
        timer.scheduleWithFixedDelay(EVIDENCE_PERIOD, this::sendAll);
    }

    /** Applies a plan and confirms it at once if it is new. */
    void received(InstanceName sender, RolloutPlan plan) {
        boolean isNew = localQueues.applyPlan(plan);
        deciders.put(plan.service(), new Decider(sender, timer.nanoTime()));
        if (isNew) {
            LOGGER.info(LogLine.of("rollout-plan")
                    .with("service", plan.service().value())
                    .with("target", plan.target())
                    .with("stage", plan.stage().name())
                    .with("share", String.valueOf(plan.share()))
                    .with("decider", sender.value()));
            send(plan.service(), sender);
        }
    }

    private void sendAll() {
        deciders.values().removeIf(decider -> timer.nanoTime() - decider.heardAtNanos() > DECIDER_TIMEOUT.toNanos());
        Map.copyOf(deciders).forEach((service, decider) -> send(service, decider.name()));
    }

    private void send(ServiceName service, InstanceName decider) {
        localQueues
                .plan(service)
                .ifPresent(plan -> network.send(
                        decider,
                        new RolloutMessages.Evidence(
                                service, plan.order(), plan.position(), localQueues.versionTotals(service))));
    }

    private record Decider(InstanceName name, long heardAtNanos) {}
}
