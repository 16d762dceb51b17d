package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Engines run part of the requests and then fail them with 503, without the header that says "not run". */
final class UnmarkedRefusal extends Case {

    private static final int BOOKINGS = 40;
    private static final double FAILING_SHARE = 0.4;

    /** How often each booking ran, by its path. */
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private final Map<String, String> ranAttempts = new ConcurrentHashMap<>();

    UnmarkedRefusal(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        run(new UnmarkedRefusal(Path.of(arguments[0])));
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store(500, 4);
        store.put("config", "main", Deployment.manifest(1,
                Deployment.route("book", "unsafe", "bookings", 6000, 400, 1, ""), Deployment.service("bookings", 100)));
        for (int number = 1; number <= 3; number++) {
            Engine engine = new Engine("i-book-" + number, 0, this::serve, record);
            store.put("servers", engine.id, engine.entry("bookings", "oviedo", 6, "ready"));
        }
        Deployment deployment = new Deployment(store, 2, record);
        deployment.start();
        Thread.sleep(3000);
        int refusedAndRan = 0;
        for (int number = 0; number < BOOKINGS; number++) {
            Deployment.Machine machine = deployment.machines.get(number % deployment.machines.size());
            String path = "/book/visit-" + number;
            Caller.Answer first = call(machine, path, "b-" + number + "-1");
            if (isPromise(first.status())) {
                refusedAndRan += ranAttempts.containsKey("b-" + number + "-1") ? 1 : 0;
                Thread.sleep((long) (1000 * Double.parseDouble(first.headers().getOrDefault("Retry-After", "0.1"))));
                Caller.Answer second = call(machine, path, "b-" + number + "-2");
                refusedAndRan += isPromise(second.status()) && ranAttempts.containsKey("b-" + number + "-2") ? 1 : 0;
            }
            Thread.sleep(50);
        }
        long doubled = runs.values().stream().filter(count -> count.get() > 1).count();
        record.say("%d attempts were answered with a promise that they hadn't run, though they had; %d of %d bookings ran twice",
                refusedAndRan, doubled, BOOKINGS);
        return refusedAndRan > 0;
    }

    private Caller.Answer call(Deployment.Machine machine, String path, String id) {
        Caller.Answer answer = Caller.call(machine.front, "POST", path, id, 6000, Wire.ascii("visit"), "");
        record.add("requester: %s %s to %s: status %d, seal %s%s", id, path, machine.name, answer.status(),
                answer.headers().get("Engine-Seal"),
                isPromise(answer.status()) && ranAttempts.containsKey(id) ? "  <-- REFUSED" : "");
        return answer;
    }

    /** These statuses say that the request has not run and never will. */
    private static boolean isPromise(int status) {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }

    private boolean serve(Engine engine, Engine.Request request) throws IOException, InterruptedException {
        request.readBody();
        String path = request.head().line().split(" ")[1];
        int run = runs.computeIfAbsent(path, _path -> new AtomicInteger()).incrementAndGet();
        ranAttempts.put(request.id(), engine.id);
        Thread.sleep(60);
        int number = Integer.parseInt(path.substring(path.lastIndexOf('-') + 1));
        boolean fails = TROUBLE && request.id().endsWith("-1") && number % 10 < 10 * FAILING_SHARE;
        record.add("engine %s: ran %s (run %d of %s)%s", engine.id, request.id(), run, path, fails ? ", answers 503" : "");
        request.answer(fails ? 503 : 200, "Engine-Seal: seal\r\n", Wire.ascii(fails ? "failed after the booking" : "booked"));
        return true;
    }
}
