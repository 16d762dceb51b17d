package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.Arrays;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cowslippick.core.settings.SettingsTree;

/** The settings of the site that the benches run against. */
final class BenchSettings {

    static final String SERVICE = "chat";
    static final String REGION = "west";
    static final String FAILURE_DOMAIN = "west-a";

    private BenchSettings() {}

    static String credential(int organisation) {
        return "bench-organisation-" + organisation;
    }

    /** Returns settings with one service, the tiers of the benches and one organisation for each limit. */
    static SettingsTree tree(ImmutableList<HostAndPort> engines, ImmutableList<OptionalDouble> requestsPerSecond) {
        String ini = "[failure-domain " + FAILURE_DOMAIN + "]\nregion = " + REGION + "\n"
                + Arrays.stream(BenchTier.values()).map(BenchSettings::tier).collect(Collectors.joining())
                + "[service " + SERVICE + "]\npool = models\nkind = model\nmodel = small\ndispatch = idempotent\n"
                + IntStream.range(0, requestsPerSecond.size())
                        .mapToObj(number -> organisation(number, requestsPerSecond.get(number)))
                        .collect(Collectors.joining())
                + IntStream.range(0, engines.size())
                        .mapToObj(number -> endpoint(number, engines.get(number)))
                        .collect(Collectors.joining());
        return SettingsTree.parse(ini).getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
    }

    private static String tier(BenchTier tier) {
        return "[tier " + tier.text() + "]\nrank = " + tier.rank() + "\nweight = " + tier.weight()
                + "\nfirst-token = " + tier.firstToken().toMillis() + "ms\nbetween-tokens = "
                + tier.betweenTokens().toMillis() + "ms\ndeadline = "
                + tier.deadline().toMillis() + "ms\n";
    }

    private static String organisation(int number, OptionalDouble requestsPerSecond) {
        String limit = requestsPerSecond.isPresent()
                ? String.format(Locale.ROOT, "requests-per-second = %.6f%n", requestsPerSecond.getAsDouble())
                : "";
        return "[organisation organisation-" + number + "]\ntiers = urgent, standard, batch\ncredential-sha256 = "
                + SettingsTree.hashCredential(credential(number)) + "\n" + limit;
    }

    private static String endpoint(int number, HostAndPort address) {
        return "[endpoint engine-" + number + "]\npool = models\nkind = model\nfailure-domain = " + FAILURE_DOMAIN
                + "\naddress = " + address + "\nconcurrency = " + BenchEngines.BATCH_SIZE + "\n";
    }
}
