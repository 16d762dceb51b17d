import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A manifest raises the size of heads; requesters go on using the channels that they have. */
final class RaisedLimit {
    private static final int CHANNELS = 12;
    private static final int REQUESTS = 4;
    private static final int OLD_LIMIT = 8192;
    private static final int NEW_LIMIT = 16384;
    private static final int HEADER_BYTES = 12_000;
    private static final double APPLY_S = 3.0;

    public static void main(String[] arguments) {
        Verdict.exit(arguments[0], RaisedLimit::run);
    }

    private static boolean run() throws Exception {
        try (Site site = new Site()) {
            configure(site, Site.isTroubled() ? OLD_LIMIT : NEW_LIMIT);
            for (int i = 0; i < 3; i++) {
                site.engines.add(new Engine(site.store, "i-" + i, "puba89b", "oviedo", 6));
            }
            site.addInstances(2, Instance.bounds());
            site.awaitReady();
            Threads.sleep(2);
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CHANNELS; i++) {
                clients.add(new Client(site.instances.get(i % 2).frontAddress()));
            }
            int all = 0;
            for (Client client : clients) {
                Client.Answer answer = client.call("GET", "/yeje164/small", Site.HOST, "", "", 6000);
                all++;
                if (answer.status() != 200) {
                    throw new IllegalStateException("a small request got " + answer.status());
                }
            }
            if (Site.isTroubled()) {
                configure(site, NEW_LIMIT);
            }
            Threads.sleep(APPLY_S + 2);
            int denied = 0;
            String header = "X-Session: " + "s".repeat(HEADER_BYTES) + "\r\n";
            for (int round = 0; round < REQUESTS; round++) {
                for (Client client : clients) {
                    Client.Answer answer = client.call("GET", "/yeje164/large", Site.HOST, header, "", 6000);
                    all++;
                    if (answer.status() >= 300 && answer.status() < 500 && answer.status() != 408
                            && answer.status() != 421 && answer.status() != 429) {
                        denied++;
                    }
                }
            }
            double allowed = 5 + all / 500.0;
            Record.say(
                    "%d of %d requests were ended with a 3xx or 4xx of the system's own; allowed are %.2f",
                    denied, all, allowed);
            return denied > allowed;
        }
    }

    private static void configure(Site site, int headerBytes) {
        Map<String, Object> limits = Site.limits();
        limits.put("maxHeaderBytes", headerBytes);
        site.configure(
                List.of(Site.route("job-lookup", "/yeje164/", "safe", "puba89b", "maxAttempts", 2)),
                List.of(Site.service("puba89b")),
                limits,
                null);
    }
}
