package org.cowslippick.entry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.world.ServiceName;

/** The metrics of one entry. Labels are services, tiers and error kinds, but never organisations. */
public final class EntryMetrics {

    /** The media type of {@link #text()}. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("cowslippick_requests_total")
            .help("Ended requests by service, tier and result.")
            .labelNames("service", "tier", "result")
            .register(registry);
    private final Histogram firstToken = Histogram.builder()
            .name("cowslippick_first_token_seconds")
            .help("From arrival to the first token or the whole answer of an application call.")
            .labelNames("service", "tier")
            .classicUpperBounds(0.01, 0.05, 0.1, 0.2, 0.3, 0.53, 1, 2, 5, 10, 30)
            .register(registry);
    private final Histogram queueTime = Histogram.builder()
            .name("cowslippick_queue_seconds")
            .help("From arrival to dispatch.")
            .labelNames("service", "tier")
            .classicUpperBounds(0.001, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
            .register(registry);

    /** Adds a gauge whose value is read at each scrape. */
    public void addGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Records a request that has ended. */
    public void recordRequest(ServiceName service, Receipt receipt, String result) {
        String tier = receipt.tier().value();
        requests.labelValues(service.value(), tier, result).inc();
        queueTime.labelValues(service.value(), tier).observe(seconds(receipt.queueTime()));
        receipt.timeToFirstToken()
                .ifPresent(time -> firstToken.labelValues(service.value(), tier).observe(seconds(time)));
    }

    /** All metrics in the Prometheus text format. */
    public String text() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
