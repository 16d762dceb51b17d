import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each engine that begins to run it. Its caller sends it again and again, and repeats it at once after a
 * failure. It must not reach engines more than three times later than {@code contactMs} after the third crash.
 */
final class Case10 extends Case {

    private static final int ENGINES = 6;
    private static final long CONTACT_MILLISECONDS = 4_000;
    private static final long REMOVED_AFTER_MILLISECONDS = 3_600;
    private static final long BACK_AFTER_MILLISECONDS = 4_500;
    private static final long COMES_AGAIN_MILLISECONDS = 500;
    private static final int REPEATS_AT_ONCE = 3;
    private static final int TOLERATED_RETRIES = 3;
    private static final int BOOKING_CALLERS = 20;
    private static final long WORK_MILLISECONDS = 150;
    private static final double PLAY_SECONDS = 20;

    private record Arrival(double at, String attemptId, String engine) {}

    private record Booking(double sentAt, String id, Caller.Answer answer) {}

    private final Store store = new Store();
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Booking> bookings = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> bookingRuns = new ConcurrentHashMap<>();
    private final AtomicInteger lastEngine = new AtomicInteger();
    private final AtomicInteger lastId = new AtomicInteger();
    private volatile double end;

    private Case10(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        main(new Case10(arguments[0]));
    }

    @Override
    boolean play() throws Exception {
        store.start();
        store.put(
                "config",
                "main",
                new Manifest()
                        .route("lookups", "/lookups/", "safe", "app", 6_000, 500, 2, false)
                        .route("bookings", "/bookings/", "unsafe", "app", 6_000, 500, 2, false)
                        .service("app", 100)
                        .tenant("tenant-1", "key-1")
                        .version(1));
        for (int index = 0; index < ENGINES; index++) {
            startEngine(index % 2 == 0 ? "zone-a" : "zone-b");
        }
        startFront("front-1", "zone-a", store);
        startFront("front-2", "zone-b", store);
        fronts.forEach(this::requireReady);
        Threads.sleep(2_000);
        end = seconds() + PLAY_SECONDS;
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < BOOKING_CALLERS; index++) {
            int seed = index;
            threads.add(Threads.start("bookings", () -> book(new Random(seed))));
        }
        Threads.sleep(1_000);
        note(hasTrouble ? "one request crashes engines from now on" : "the same request is harmless");
        threads.add(Threads.start("caller", () -> sendAgain(new Random(99))));
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private void startEngine(String zone) throws IOException {
        Engine engine = new Engine("engine-" + lastEngine.incrementAndGet(), "app", zone, 6, (run, out) -> run(run, out, zone));
        engine.start();
        engine.register(store, "ready");
    }

    private void run(Engine.Run run, OutputStream out, String zone) throws IOException {
        if (run.head().target().startsWith("/lookups/harmful")) {
            arrivals.add(new Arrival(seconds(), run.attemptId(), run.engine().id()));
            if (hasTrouble) {
                crash(run.engine(), zone);
                return;
            }
        } else {
            bookingRuns.computeIfAbsent(run.attemptId(), _id -> new AtomicInteger()).incrementAndGet();
        }
        Threads.sleep(WORK_MILLISECONDS);
        run.answer(out, "done".getBytes());
    }

    /** Ends the engine; its entry lapses, and it is back some seconds later with another id. */
    private void crash(Engine engine, String zone) throws IOException {
        engine.crash();
        Threads.start("restart", () -> {
            Threads.sleep(REMOVED_AFTER_MILLISECONDS);
            store.delete("servers", engine.id());
            Threads.sleep(BACK_AFTER_MILLISECONDS - REMOVED_AFTER_MILLISECONDS);
            try {
                startEngine(zone);
            } catch (IOException failure) {
                note("an engine could not start again: " + failure);
            }
        });
    }

    private static String request(String method, String path, String id) {
        return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: 6000\r\nCredential: key-1\r\nContent-Length: 0\r\n\r\n";
    }

    private Caller.Answer ask(Front front, String head) {
        try (Caller caller = new Caller(front.callerPort(), 7_000)) {
            caller.send(head, new byte[0]);
            return caller.receive();
        } catch (IOException failure) {
            return new Caller.Answer(0, Map.of(), new byte[0], false, String.valueOf(failure.getMessage()));
        }
    }

    /** Sends the request and its repeats at once, each to any machine. */
    private void sendAgain(Random random) {
        while (seconds() < end) {
            List<Thread> threads = new ArrayList<>();
            for (int attempt = 0; attempt <= REPEATS_AT_ONCE; attempt++) {
                String id = "harmful-" + lastId.incrementAndGet();
                Front front = fronts.get(random.nextInt(2));
                threads.add(Threads.start("attempt", () -> {
                    Caller.Answer answer = ask(front, request("GET", "/lookups/harmful", id));
                    note(id + ": status " + answer.status() + ", " + answer.end());
                }));
            }
            threads.forEach(Case10::join);
            Threads.sleep(COMES_AGAIN_MILLISECONDS);
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private void book(Random random) {
        while (seconds() < end) {
            String id = "booking-" + lastId.incrementAndGet();
            double sentAt = seconds();
            bookings.add(new Booking(
                    sentAt, id, ask(fronts.get(random.nextInt(2)), request("POST", "/bookings/1", id))));
            Threads.sleep(100);
        }
    }

    private boolean judge() {
        List<Arrival> sorted = List.copyOf(arrivals);
        sorted.forEach(arrival ->
                note(String.format("%s reached %s at %.3f", arrival.attemptId(), arrival.engine(), arrival.at())));
        if (!hasTrouble) {
            return false;
        }
        if (sorted.size() < 3) {
            throw new IllegalStateException("the request crashed only " + sorted.size() + " engines");
        }
        double bound = sorted.get(2).at() + CONTACT_MILLISECONDS / 1000.0;
        long late = sorted.stream().filter(arrival -> arrival.at() > bound).count();
        long lost = bookings.stream()
                .filter(booking -> booking.sentAt() > bound && bookingRuns.containsKey(booking.id()))
                .filter(booking -> booking.answer().status() != 200)
                .count();
        note(String.format("the third crash was at %.3f", sorted.get(2).at()));
        note(late + " arrivals at engines later than contactMs after it; " + TOLERATED_RETRIES + " are allowed");
        note(lost + " bookings that engines had begun to run were lost by these crashes");
        return late > TOLERATED_RETRIES;
    }
}
