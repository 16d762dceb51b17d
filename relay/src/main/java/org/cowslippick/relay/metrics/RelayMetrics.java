package org.cowslippick.relay.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * The metrics of one instance. Counting takes a few additions on the event loop; the client library is used, and its
 * classes are loaded, only by a scrape. All methods must be called on the event loop.
 */
public final class RelayMetrics {

    /** The media type of {@link #text()}. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    /** Less urgent ranks share a label, so that a configuration cannot add series without bound. */
    private static final int MAXIMUM_RANK_LABEL = 9;

    private final Map<RelayEvent, Long> events = new EnumMap<>(RelayEvent.class);
    private final Map<String, RequestCounts> requests = new LinkedHashMap<>();
    private final Map<String, Long> refusals = new LinkedHashMap<>();
    private final Map<String, Gauge> gauges = new LinkedHashMap<>();

    public void count(RelayEvent event) {
        count(event, 1);
    }

    public void count(RelayEvent event, long amount) {
        events.merge(event, amount, Long::sum);
    }

    /** Counts a request that was refused on arrival. */
    public void countRefusal(String result) {
        refusals.merge(result, 1L, Long::sum);
    }

    public void recordRequest(RequestMeasurement measurement) {
        int rank = Math.min(measurement.rank(), MAXIMUM_RANK_LABEL);
        String key = measurement.result() + '/' + rank + '/' + measurement.kind();
        RequestCounts counts = requests.computeIfAbsent(
                key,
                _key -> new RequestCounts(Labels.of(
                        "result",
                        measurement.result(),
                        "rank",
                        String.valueOf(rank),
                        "kind",
                        measurement.kind().name().toLowerCase(Locale.ROOT))));
        counts.total.add(measurement.total());
        counts.requests++;
        measurement.waited().ifPresent(counts.waited::add);
        measurement.first().ifPresent(counts.first::add);
    }

    /** Adds a gauge whose value is read by each scrape. */
    public void addGauge(String name, String help, DoubleSupplier value) {
        gauges.put("cowslippick_" + name, new Gauge(help, value));
    }

    /** All metrics in the text format. */
    public String text() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create()
                    .write(bytes, new MetricSnapshots(snapshots().toList()));
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private Stream<MetricSnapshot> snapshots() {
        return Stream.of(
                        Stream.of(
                                requestCounter(),
                                refusalCounter(),
                                histogram(
                                        "cowslippick_request_queue_seconds",
                                        "From arrival to the grant of a slot.",
                                        counts -> counts.waited),
                                histogram(
                                        "cowslippick_request_first_part_seconds",
                                        "From arrival to the first part of the response.",
                                        counts -> counts.first),
                                histogram(
                                        "cowslippick_request_seconds",
                                        "From arrival to the end.",
                                        counts -> counts.total)),
                        Arrays.stream(RelayEvent.values()).map(this::snapshot),
                        gauges.entrySet().stream().map(RelayMetrics::snapshot))
                .flatMap(part -> part);
    }

    private MetricSnapshot requestCounter() {
        CounterSnapshot.Builder counter = CounterSnapshot.builder()
                .name("cowslippick_requests")
                .help("Ended requests by result, rank and kind of route.");
        requests.values()
                .forEach(counts -> counter.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(counts.labels)
                        .value((double) counts.requests)
                        .build()));
        return counter.build();
    }

    private MetricSnapshot refusalCounter() {
        CounterSnapshot.Builder counter = CounterSnapshot.builder()
                .name("cowslippick_arrivals_refused")
                .help("Requests refused on arrival, by result.");
        refusals.forEach((result, count) -> counter.dataPoint(CounterDataPointSnapshot.builder()
                .labels(Labels.of("result", result))
                .value((double) count)
                .build()));
        return counter.build();
    }

    private MetricSnapshot histogram(String name, String help, Function<RequestCounts, LatencyCounts> part) {
        HistogramSnapshot.Builder histogram =
                HistogramSnapshot.builder().name(name).help(help);
        requests.values()
                .forEach(counts -> histogram.dataPoint(part.apply(counts).snapshot(counts.labels)));
        return histogram.build();
    }

    private MetricSnapshot snapshot(RelayEvent event) {
        return CounterSnapshot.builder()
                .name(event.metric())
                .help(event.help())
                .dataPoint(CounterDataPointSnapshot.builder()
                        .value((double) events.getOrDefault(event, 0L))
                        .build())
                .build();
    }

    private static MetricSnapshot snapshot(Map.Entry<String, Gauge> gauge) {
        return GaugeSnapshot.builder()
                .name(gauge.getKey())
                .help(gauge.getValue().help())
                .dataPoint(GaugeDataPointSnapshot.builder()
                        .value(gauge.getValue().value().getAsDouble())
                        .build())
                .build();
    }

    private record Gauge(String help, DoubleSupplier value) {}

    private static final class RequestCounts {
        private final Labels labels;
        private final LatencyCounts waited = new LatencyCounts();
        private final LatencyCounts first = new LatencyCounts();
        private final LatencyCounts total = new LatencyCounts();
        private long requests;

        RequestCounts(Labels labels) {
            this.labels = labels;
        }
    }
}
