package org.cowslippick.standin.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cowslippick.core.settings.SettingsTree;

/** The settings of the demo site. */
final class DemoSettings {

    static final String CALLER_CREDENTIAL = "demo-caller";
    static final String OPERATOR_CREDENTIAL = "demo-operator";
    static final ImmutableList<String> FAILURE_DOMAINS = ImmutableList.of("west-a", "west-b", "east-a");

    private static final String SITE_TEMPLATE =
            """
            [defaults]
            operator-credential-sha256 = OPERATOR
            [failure-domain west-a]
            region = west
            [failure-domain west-b]
            region = west
            [failure-domain east-a]
            region = east
            [link west to east]
            bytes-per-second = 4000000
            [link east to west]
            bytes-per-second = 4000000
            [tier urgent]
            rank = 0
            weight = 8
            deadline = 20s
            [tier standard]
            rank = 1
            weight = 2
            first-token = 2s
            [service chat]
            pool = models
            kind = model
            model = small
            dispatch = dispatch-once
            [service report]
            pool = models
            kind = model
            model = small
            dispatch = idempotent
            [service booking]
            pool = applications
            kind = application
            dispatch = run-once
            [organisation demo]
            tiers = urgent, standard
            credential-sha256 = CALLER
            cross-region = yes
            """;

    private DemoSettings() {}

    static SettingsTree tree(ImmutableList<HostAndPort> engines, HostAndPort application) {
        String modelEndpoints = IntStream.range(0, engines.size())
                .mapToObj(index -> endpoint("engine-" + (index + 1), "models", "model", index, engines.get(index)))
                .collect(Collectors.joining());
        String site = SITE_TEMPLATE
                .replace("OPERATOR", SettingsTree.hashCredential(OPERATOR_CREDENTIAL))
                .replace("CALLER", SettingsTree.hashCredential(CALLER_CREDENTIAL));
        String ini = site + modelEndpoints + endpoint("application-1", "applications", "application", 0, application);
        return SettingsTree.parse(ini).getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
    }

    private static String endpoint(String name, String pool, String kind, int failureDomain, HostAndPort address) {
        return "[endpoint " + name + "]\npool = " + pool + "\nkind = " + kind + "\nfailure-domain = "
                + FAILURE_DOMAINS.get(failureDomain) + "\naddress = " + address + "\nconcurrency = 8\n";
    }
}
