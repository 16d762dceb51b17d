package org.cowslippick.standin.bench;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Formats a report as a text table. */
final class ReportTable {

    private static final double SEND_LATENESS_WARNING_MILLISECONDS = 20;
    private static final double PERCENT = 100;

    private ReportTable() {}

    static String format(BenchReport report) {
        Stream<String> head = Stream.of(
                String.format(
                        Locale.ROOT,
                        "%s: seed %d, %.1f s, %d requests",
                        report.bench(),
                        report.seed(),
                        report.seconds(),
                        report.requests()),
                String.format("%-40s %12s %12s %9s  %s", "measure", "cowslippick", "naive", "ratio", "target"));
        Stream<String> body = Stream.of(
                        report.rows().stream().map(ReportTable::formatRow),
                        report.tiers().stream().map(ReportTable::formatTier),
                        report.slopes().stream().map(ReportTable::formatSlope),
                        report.diagnostics().stream().map(ReportTable::formatDiagnostic),
                        warnings(report))
                .flatMap(lines -> lines);
        return Stream.concat(head, body).collect(Collectors.joining(System.lineSeparator()));
    }

    private static String formatRow(BenchReport.Row row) {
        return String.format(
                Locale.ROOT,
                "%-40s %12.4f %12.4f %9.3f  %s %s",
                row.measure() + " (" + row.unit() + ")",
                row.cowslippick(),
                row.naive() == null ? Double.NaN : row.naive(),
                row.ratio() == null ? Double.NaN : row.ratio(),
                row.target(),
                row.met() ? "met" : "MISSED");
    }

    private static String formatTier(BenchReport.TierRow tier) {
        return String.format(
                Locale.ROOT,
                "%-12s %-9s offered %5d, on time %5d, late %5d, refused %s",
                tier.policy(),
                tier.tier(),
                tier.offered(),
                tier.onTime(),
                tier.late(),
                tier.refused());
    }

    private static String formatDiagnostic(BenchReport.Diagnostic diagnostic) {
        return String.format(
                Locale.ROOT,
                "%-40s %12.4f %12.4f",
                diagnostic.name() + " (" + diagnostic.unit() + ")",
                diagnostic.cowslippick(),
                diagnostic.naive());
    }

    private static String formatSlope(Slope slope) {
        return String.format(
                Locale.ROOT,
                "%-40s %12.4f per %s, %12.1f fixed, residual %.1f%% at sizes %s: %s",
                slope.measure() + " (" + slope.unit() + ")",
                slope.perItem(),
                slope.item(),
                slope.fixed(),
                slope.residualShare() * PERCENT,
                slope.sizes(),
                slope.values());
    }

    private static Stream<String> warnings(BenchReport report) {
        return report.diagnostics().stream()
                .filter(diagnostic -> diagnostic.name().equals("send_lateness_p99"))
                .filter(diagnostic ->
                        Math.max(diagnostic.cowslippick(), diagnostic.naive()) > SEND_LATENESS_WARNING_MILLISECONDS)
                .map(_diagnostic -> "WARNING: the load generator sent late; the machine may be saturated");
    }
}
