import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes its engines comes again after all processes were killed at once. */
final class PoisonedRequest {
    private static final double CONTACT_S = 4.0;
    private static final double ENGINE_DOWN_S = 2.0;
    private static final double PAUSE_S = 2.5;
    private static final int KILLS = 2;
    private static final int REQUESTS_PER_LIFE = 6;
    private static final int ALLOWED_RETRIES = 3;
    private static final String POISON = "/yeje164/poison";

    /** An engine's crash, and the attempt that it had begun to run. */
    private record Crash(double at, String engine, String attempt) {}

    private static final List<Crash> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static volatile boolean stopped;

    public static void main(String[] arguments) {
        Verdict.exit(arguments[0], PoisonedRequest::run);
    }

    private static final class Crashing extends Engine {
        Crashing(Store store, String id, String service, String zone, int slots) throws IOException {
            super(store, id, service, zone, slots);
        }

        @Override
        void run(Http.Message request, OutputStream out, String attempt) throws IOException {
            if (request.target().equals(POISON)) {
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
            List<Double> inTouchSince = new ArrayList<>(List.of(0.0));
            ConcurrentLinkedQueue<String> sent = new ConcurrentLinkedQueue<>();
            sendPoison(site, sent);
            for (int kill = 0; kill < KILLS; kill++) {
                if (Site.isTroubled()) {
                    for (Instance instance : site.instances) {
                        instance.signal("KILL");
                    }
                    for (Instance instance : site.instances) {
                        instance.process.waitFor();
                    }
                    Threads.sleep(0.5);
                    for (Instance instance : site.instances) {
                        instance.start();
                    }
                    site.awaitReady();
                }
                Threads.sleep(CONTACT_S + 0.5);
                sendPoison(site, sent);
            }
            stopped = true;
            Threads.sleep(3);
            return judge();
        }
    }

    /** The same request comes again and again, with the same path, caller and body, at one machine after the other. */
    private static void sendPoison(Site site, ConcurrentLinkedQueue<String> sent) {
        for (int i = 0; i < REQUESTS_PER_LIFE; i++) {
            Instance instance = site.instances.get(i % site.instances.size());
            try (Client client = new Client(instance.frontAddress())) {
                Client.Answer answer = client.call("GET", POISON, Site.HOST, "", "", 3000);
                sent.add(answer.attempt());
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
        if (CRASHES.size() < 3) {
            throw new IllegalStateException("the request crashed " + CRASHES.size() + " engines only");
        }
        double third = CRASHES.get(2).at();
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
