import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Another writer leaves odd entries among those of the engines; then an engine leaves. */
final class OddEntries {
    private static final int ODD_ENTRIES = 4;
    private static final int ENTRY_BYTES = 1_040_000;

    /** Lists within lists, in place of the number of slots. */
    private static final String NESTED = "[".repeat(26) + "]".repeat(26);

    private static final int CLIENTS = 4;
    private static final double DRAIN_S = 3.0;
    private static final double CONTACT_S = 4.0;

    /** When an attempt was sent. */
    private record Sent(double at, String attempt, int status) {}

    private static volatile boolean stopped;

    public static void main(String[] arguments) {
        Verdict.exit(arguments[0], OddEntries::run);
    }

    private static boolean run() throws Exception {
        int count = Integer.parseInt(System.getenv().getOrDefault("ODD", String.valueOf(ODD_ENTRIES)));
        try (Site site = new Site()) {
            site.configure(
                    List.of(Site.route("job-lookup", "/yeje164/", "safe", "puba89b", "maxAttempts", 2, "priority", 0)),
                    List.of(Site.service("puba89b")),
                    Site.limits(),
                    null);
            for (int i = 0; i < 3; i++) {
                site.engines.add(new Engine(site.store, "i-" + i, "puba89b", i == 0 ? "gijon" : "oviedo", 6));
                site.engines.get(i).workMs = i == 0 ? 15 : 60;
            }
            site.addInstances(2, Instance.bounds());
            site.awaitReady();
            ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
            for (Instance instance : site.instances) {
                for (int i = 0; i < CLIENTS; i++) {
                    Threads.start("client", () -> requests(instance, sent));
                }
            }
            Threads.sleep(3);
            if (Site.isTroubled()) {
                Threads.start("other writer", () -> writeOddEntries(site.store, count));
            }
            Threads.sleep(CONTACT_S + 2);
            site.engines.get(0).drain();
            double drained = Record.now();
            Record.say("the store has confirmed at %.3f s that i-0 is draining", drained);
            Threads.sleep(DRAIN_S + 8);
            double removed = Record.now();
            site.engines.get(0).leave();
            Record.say("i-0 has left the store's list at %.3f s, and still serves", removed);
            Threads.sleep(DRAIN_S + 8);
            stopped = true;
            Threads.sleep(3.2);
            return judge(site, sent, drained, removed);
        }
    }

    private static void writeOddEntries(Store store, int count) {
        String slots = "[" + (NESTED + ",").repeat(ENTRY_BYTES / (NESTED.length() + 1)) + NESTED + "]";
        for (long sequence = 1; !stopped; sequence++) {
            for (int i = 0; i < count; i++) {
                store.report("o-" + i, Json.of("service", "puba89b", "slots", new Json.Raw(slots)), sequence);
                if (sequence == 1) {
                    Record.line("another writer has left the entry o-%d of %d bytes", i, slots.length() + 100);
                    Threads.sleep(0.3);
                }
            }
            Threads.sleep(1.2);
        }
    }

    private static void requests(Instance instance, ConcurrentLinkedQueue<Sent> sent) {
        Client client = new Client(instance.frontAddress());
        while (!stopped) {
            double at = Record.now();
            Client.Answer answer = client.call("GET", "/yeje164/" + instance.name, Site.HOST, "", "", 3000);
            sent.add(new Sent(at, answer.attempt(), answer.status()));
            Threads.sleep(0.1);
        }
    }

    private static boolean judge(Site site, ConcurrentLinkedQueue<Sent> all, double drained, double removed) {
        List<Sent> sent = new ArrayList<>(all);
        List<Engine.Run> late = site.engines.get(0).runs.stream()
                .filter(run -> run.at() > drained + DRAIN_S)
                .filter(run -> sent.stream()
                        .anyMatch(one -> one.attempt().equals(run.attempt()) && one.at() > drained + DRAIN_S))
                .toList();
        long ok = sent.stream().filter(one -> one.status() == 200).count();
        long refused = sent.stream().filter(one -> one.status() == 503).count();
        Record.say(
                "%d requests: %d answered with 200, %d with 503, %d others; processes that ended: %d",
                sent.size(),
                ok,
                refused,
                sent.size() - ok - refused,
                site.instances.stream().filter(instance -> !instance.process.isAlive()).count());
        Record.say(
                "sent later than drainMs after the confirmation, %d requests reached i-0, %d of them later than drainMs after its entry was gone",
                late.size(), late.stream().filter(run -> run.at() > removed + DRAIN_S).count());
        return !late.isEmpty();
    }
}
