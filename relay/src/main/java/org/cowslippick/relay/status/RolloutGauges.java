package org.cowslippick.relay.status;

import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.peer.RolloutDeciders;
import org.cowslippick.relay.slot.LocalSlotQueues;

/** What an instance knows of roll-outs, as gauges. */
public record RolloutGauges(LocalSlotQueues localQueues, RolloutDeciders deciders) {

    /** Adds a gauge for each. */
    public void addTo(RelayMetrics metrics) {
        metrics.addGauge("rollouts_decided", "Roll-outs that this instance decides on.", deciders::decidedCount);
        metrics.addGauge("rollout_requests", "Requests counted here since the orders.", () -> localQueues
                .versionTotals()
                .requests());
        metrics.addGauge("rollout_exposure", "Requests granted an endpoint of a target here.", () -> localQueues
                .versionTotals()
                .exposure());
        metrics.addGauge(
                "rollout_target_bad",
                "Failed or slow responses of targets counted here.",
                () -> localQueues.versionTotals().targetTotal().bad());
        metrics.addGauge("rollout_old_running", "Requests that run on other versions here.", () -> localQueues
                .versionTotals()
                .oldRunning());
    }
}
