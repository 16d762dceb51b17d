package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.scheduler.pool.PoolScheduler;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.SchedulingPolicy;

/** Generates settings, members and pools for a fleet of a given size. */
final class SyntheticFleet {

    static final int MODELS = 16;
    static final int TIERS = 4;
    static final int REGIONS = 4;
    static final int FAILURE_DOMAINS = 10;

    private static final int ADDRESSES_PER_OCTET = 250;

    private SyntheticFleet() {}

    static String settingsText(int organisations, int engines) {
        return lines(FAILURE_DOMAINS, SyntheticFleet::failureDomainText)
                + lines(TIERS, SyntheticFleet::tierText)
                + lines(MODELS, SyntheticFleet::serviceText)
                + lines(organisations, SyntheticFleet::organisationText)
                + lines(engines, SyntheticFleet::endpointText);
    }

    static SettingsTree settings(int organisations, int engines) {
        return SettingsTree.parse(settingsText(organisations, engines))
                .getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
    }

    static ImmutableList<Instance> members(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new Instance(
                        new InstanceName("entry-" + number),
                        new FailureDomain(domain(number), new Region(region(number))),
                        HostAndPort.fromParts(address(0, number), 8080),
                        HostAndPort.fromParts(address(0, number), 8081)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns a pool with the endpoints. */
    static PoolScheduler pool(ImmutableList<Endpoint> endpoints) {
        PoolScheduler pool = SchedulingPolicy.TIERED.create(1, PoolSettings.DEFAULT);
        pool.replaceEndpoints(endpoints, 0);
        return pool;
    }

    /** Returns one pool for each model and region. */
    static ImmutableList<PoolScheduler> pools(SettingsTree tree) {
        return tree.endpoints().stream()
                .collect(Collectors.groupingBy(Endpoint::poolKey, ImmutableList.toImmutableList()))
                .values()
                .stream()
                .map(SyntheticFleet::pool)
                .collect(ImmutableList.toImmutableList());
    }

    private static String failureDomainText(int number) {
        return "[failure-domain " + domain(number) + "]\nregion = " + region(number) + "\n";
    }

    private static String tierText(int number) {
        return "[tier tier-" + number + "]\nrank = " + number + "\nweight = " + (TIERS - number) + "\n";
    }

    private static String serviceText(int number) {
        return "[service service-" + number + "]\npool = pool-" + number + "\nkind = model\nmodel = model-" + number
                + "\ndispatch = idempotent\n";
    }

    private static String organisationText(int number) {
        return "[organisation organisation-" + number + "]\ntiers = tier-0, tier-1, tier-2, tier-3\n"
                + "credential-sha256 = " + SettingsTree.hashCredential("credential-" + number) + "\n";
    }

    private static String endpointText(int number) {
        return "[endpoint engine-" + number + "]\npool = pool-" + number % MODELS
                + "\nkind = model\nfailure-domain = " + domain(number / MODELS) + "\naddress = " + address(1, number)
                + ":8000\nconcurrency = 32\n";
    }

    private static String lines(int count, IntFunction<String> line) {
        return IntStream.range(0, count).mapToObj(line).collect(Collectors.joining());
    }

    private static String domain(int number) {
        return "domain-" + number % FAILURE_DOMAINS;
    }

    private static String region(int number) {
        return "region-" + number % FAILURE_DOMAINS % REGIONS;
    }

    private static String address(int net, int number) {
        return "10." + net + "." + number / ADDRESSES_PER_OCTET + "." + (1 + number % ADDRESSES_PER_OCTET);
    }
}
