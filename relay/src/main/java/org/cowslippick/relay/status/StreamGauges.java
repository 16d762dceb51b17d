package org.cowslippick.relay.status;

import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.stream.StreamTracking;

/** Gauges of what an instance knows of streams and software versions. */
public record StreamGauges(StreamTracking streams) {

    public void addTo(RelayMetrics metrics) {
        metrics.addGauge("stream_origins", "Streams whose software version is in memory.", streams::originCount);
        metrics.addGauge(
                "services_of_mixed_versions",
                "Services whose streams several software versions can have begun.",
                streams::mixedCount);
    }
}
