import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes its engines comes again with the same path, caller and body, and another query. */
final class PoisonedQuery {
    private static final double CONTACT_S = 4.0;
    private static final double ENGINE_DOWN_S = 2.0;
    private static final double PAUSE_S = 2.5;
    private static final int COMINGS = 9;
    private static final int ALLOWED_RETRIES = 3;
    private static final String POISON = "/yeje164/lookup";
    private static final String BODY = "the history of the house with no number";

    /** An engine's crash, and the attempt that it had begun to run. */
    private record Crash(double at, String engine, String attempt) {}

    private static final List<Crash> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static volatile boolean stopped;

    public static void main(String[] arguments) {
        Verdict.exit(arguments[0], PoisonedQuery::run);
    }

    private static final class Crashing extends Engine {
        Crashing(Store store, String id, String service, String zone, int slots) throws IOException {
            super(store, id, service, zone, slots);
        }

        @Override
        void run(Http.Message request, OutputStream out, String attempt) throws IOException {
            if (Site.isTroubled() && request.target().startsWith(POISON + "?") && request.text().equals(BODY)) {
                CRASHES.add(new Crash(Record.now(), id, attempt));
                crash(ENGINE_DOWN_S);
            } else {
                super.run(request, out, attempt);
            }
        }
    }

    private static boolean run() throws Exception {
        try (Site site = new Site()) {
            site.configure(
                    List.of(Site.route("job-lookup", "/yeje164/", "safe", "puba89b", "maxAttempts", 1)),
                    List.of(Site.service("puba89b")),
                    Site.limits(),
                    null);
            for (int i = 0; i < 3; i++) {
                Engine engine = new Crashing(site.store, "i-" + i, "puba89b", i == 0 ? "gijon" : "oviedo", 6);
                engine.workMs = 300;
                site.engines.add(engine);
            }
            site.addInstances(3, Instance.bounds());
            site.awaitReady();
            Threads.sleep(CONTACT_S + 1);
            for (Instance instance : site.instances) {
                Threads.start("requester", () -> others(instance));
            }
            sendPoison(site);
            stopped = true;
            Threads.sleep(3);
            return judge();
        }
    }

    /** The request comes again and again, at one machine after the other; with SAME=1 its query is the same, too. */
    private static void sendPoison(Site site) {
        boolean isSame = "1".equals(System.getenv("SAME"));
        for (int i = 0; i < COMINGS; i++) {
            Instance instance = site.instances.get(i % site.instances.size());
            try (Client client = new Client(instance.frontAddress())) {
                client.call("POST", POISON + "?visit=" + (isSame ? 0 : i), Site.HOST, "", BODY, 3000);
            }
            Threads.sleep(PAUSE_S);
        }
    }

    /** Sound requests beside it. */
    private static void others(Instance instance) {
        Client client = new Client(instance.frontAddress());
        while (!stopped) {
            Client.Answer answer = client.call("GET", "/yeje164/" + instance.name, Site.HOST, "", "", 3000);
            if (answer.status() == 200) {
                SERVED.incrementAndGet();
            } else if (answer.status() == 502) {
                LOST.incrementAndGet();
            }
            Threads.sleep(0.2);
        }
    }

    private static boolean judge() {
        double third = CRASHES.size() < 3 ? Double.MAX_VALUE : CRASHES.get(2).at();
        long late = CRASHES.stream()
                .filter(crash -> crash.at() > third + CONTACT_S)
                .map(Crash::attempt)
                .distinct()
                .count();
        Record.say(
                "%d crashes by the request; %d of its attempts reached an engine later than contactMs after the third; %d sound requests served, %d ended with 502",
                CRASHES.size(), late, SERVED.get(), LOST.get());
        return late > ALLOWED_RETRIES;
    }
}
