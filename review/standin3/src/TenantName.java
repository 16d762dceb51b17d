import java.util.List;
import java.util.Map;

/** A manifest adds a tenant whose name has a space, drops a key and moves a route. */
final class TenantName {
    private static final double APPLY_S = 3.0;
    private static final int ROUNDS = 10;
    private static final String KEPT = "i9n73hh2b9wu3fexd9dn";
    private static final String DROPPED = "n2ctnfzs989anu6wsjnb";
    private static final String ADDED = "k4h81xw0q7ttzz5m2p6c";

    public static void main(String[] arguments) {
        Verdict.exit(arguments[0], TenantName::run);
    }

    private static boolean run() throws Exception {
        try (Site site = new Site()) {
            configure(site, "puba89b", List.of(tenant("hule930", KEPT, DROPPED)));
            site.engines.add(new Engine(site.store, "i-0", "puba89b", "oviedo", 6));
            site.engines.add(new Engine(site.store, "i-1", "puba89b", "gijon", 6));
            site.engines.add(new Engine(site.store, "i-2", "wuno96b", "oviedo", 6));
            site.addInstances(2, Instance.bounds());
            site.awaitReady();
            Threads.sleep(2);
            for (Instance instance : site.instances) {
                expect(200, call(instance, KEPT));
                expect(200, call(instance, DROPPED));
                expect(401, call(instance, ADDED));
            }
            String name = Site.isTroubled() ? "Llanes Sur" : "llanes-sur";
            configure(site, "wuno96b", List.of(tenant("hule930", KEPT), tenant(name, ADDED)));
            Threads.sleep(APPLY_S + 1);
            int older = 0;
            int all = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (Instance instance : site.instances) {
                    for (String key : List.of(KEPT, DROPPED, ADDED)) {
                        Client.Answer answer = call(instance, key);
                        all++;
                        boolean isOldService = site.engines.subList(0, 2).stream()
                                .flatMap(engine -> engine.runs.stream())
                                .anyMatch(run -> run.attempt().equals(answer.attempt()));
                        boolean isOldKey = key.equals(DROPPED) && answer.status() == 200;
                        boolean isRefused = key.equals(ADDED) && answer.status() == 401;
                        if (isOldService || isOldKey || isRefused) {
                            older++;
                        }
                    }
                }
                Threads.sleep(0.5);
            }
            Record.say(
                    "%d of %d requests sent later than configApplyMs after the confirmation were handled as only the older version allows",
                    older, all);
            return older > 0;
        }
    }

    private static Map<String, Object> tenant(String name, String... keys) {
        return Json.of(
                "name", name, "apiKeys", List.of(keys), "priority", 1, "unit", "tokens", "uncachedTokens", 200,
                "ratePerS", 325748, "burst", 325748);
    }

    private static void configure(Site site, String service, List<?> tenants) {
        site.configure(
                List.of(Site.route("job-lookup", "/yeje164/", "safe", service, "maxAttempts", 2)),
                List.of(Site.service("puba89b"), Site.service("wuno96b")),
                Site.limits(),
                tenants);
    }

    private static Client.Answer call(Instance instance, String key) {
        try (Client client = new Client(instance.frontAddress())) {
            return client.call("GET", "/yeje164/x", Site.HOST, "Credential: " + key + "\r\n", "", 3000);
        }
    }

    private static void expect(int status, Client.Answer answer) {
        if (answer.status() != status) {
            throw new IllegalStateException("expected " + status + " before the change, got " + answer.status());
        }
    }
}
