import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A stream crashes each engine that runs it, after its first events, and comes again. */
final class PoisonedStream {
    private static final double CONTACT_S = 4.0;
    private static final double ENGINE_DOWN_S = 2.0;
    private static final double PAUSE_S = 3.0;
    private static final int COMINGS = 10;
    private static final int EVENTS_BEFORE_CRASH = 4;
    private static final int EVENTS = 12;
    private static final int ALLOWED_RETRIES = 3;
    private static final String KEY = "i9n73hh2b9wu3fexd9dn";
    private static final String POISON = "draw the gate of the house with no number";

    /** An engine's crash, and the attempt that it was running. */
    private record Crash(double at, String engine, String attempt) {}

    private static final List<Crash> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger BROKEN_OFF = new AtomicInteger();
    private static final Set<String> REFUSED = ConcurrentHashMap.newKeySet();
    private static volatile boolean stopped;

    public static void main(String[] arguments) {
        Verdict.exit(arguments[0], PoisonedStream::run);
    }

    private static final class Streaming extends Engine {
        Streaming(Store store, String id, String service, String zone, int slots) throws IOException {
            super(store, id, service, zone, slots);
        }

        @Override
        void run(Http.Message request, OutputStream out, String attempt) throws IOException {
            boolean crashes = Site.isTroubled() && request.text().equals(POISON);
            int after = request.header("last-event-id").isEmpty()
                    ? 0
                    : Integer.parseInt(request.header("last-event-id"));
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nEngine-Seal: seal-" + id + "-"
                    + attempt + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n"));
            for (int event = after + 1; event <= EVENTS; event++) {
                if (crashes && event > after + EVENTS_BEFORE_CRASH) {
                    CRASHES.add(new Crash(Record.now(), id, attempt));
                    crash(ENGINE_DOWN_S);
                    return;
                }
                Threads.sleep(0.05);
                String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                out.flush();
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
        }
    }

    private static boolean run() throws Exception {
        try (Site site = new Site()) {
            site.configure(
                    List.of(Site.route(
                            "customer-chat", "/pufi791/", "streaming", "huvo11a", "maxAttempts", 2, "resumable", true,
                            "sticky", true, "targetGapMs", 300, "timeoutMs", 12000)),
                    List.of(Site.service("huvo11a")),
                    Site.limits(),
                    List.of(Json.of(
                            "name", "hule930", "apiKeys", List.of(KEY), "priority", 1, "unit", "tokens",
                            "uncachedTokens", 200, "ratePerS", 325748, "burst", 325748)));
            for (int i = 0; i < 4; i++) {
                site.engines.add(new Streaming(site.store, "i-" + i, "huvo11a", i % 2 == 0 ? "gijon" : "oviedo", 10));
            }
            site.addInstances(2, Instance.bounds());
            site.awaitReady();
            Threads.sleep(CONTACT_S + 1);
            for (Instance instance : site.instances) {
                Threads.start("requester", () -> others(instance));
            }
            for (int i = 0; i < COMINGS; i++) {
                Instance instance = site.instances.get(i % site.instances.size());
                try (Client client = new Client(instance.frontAddress())) {
                    Client.Answer answer = send(client, POISON);
                    if (answer.status() == 503) {
                        REFUSED.add(answer.attempt());
                    }
                }
                Threads.sleep(PAUSE_S);
            }
            stopped = true;
            Threads.sleep(2);
            return judge();
        }
    }

    private static Client.Answer send(Client client, String body) {
        return client.call(
                "POST",
                "/pufi791/2f",
                Site.HOST,
                "Model: m\r\nToken-Counts: 628,290\r\nPrompt-Prefix: 5c1e07a2:60," + Integer.toHexString(body.hashCode())
                        + ":568\r\nCredential: " + KEY + "\r\n",
                body,
                12000);
    }

    /** Other requesters' chats, which share the first part of the prompt. */
    private static void others(Instance instance) {
        Client client = new Client(instance.frontAddress());
        for (int number = 0; !stopped; number++) {
            Client.Answer answer = send(client, "chat " + number + " at " + instance.name);
            if (answer.status() == 200) {
                SERVED.incrementAndGet();
            } else {
                BROKEN_OFF.incrementAndGet();
            }
            Threads.sleep(0.1);
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
                "the request came %d times, %d of them refused; %d crashes; %d of its attempts reached an engine later than contactMs after the third; other chats: %d served, %d not",
                COMINGS, REFUSED.size(), CRASHES.size(), late, SERVED.get(), BROKEN_OFF.get());
        return late > ALLOWED_RETRIES;
    }
}
