package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An engine drains while a machine that has just been started again reads the list of engines, page by page. */
final class ChangeBetweenPages extends Case {

    private static final long DRAIN_MS = 3000;
    private static final long RUN_MS = 300;
    private static final int REQUESTS = 6;
    private static final int PAGE = 50;
    private static final int OTHERS = 60;

    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private volatile long leavingSinceMs = -1;

    ChangeBetweenPages(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        run(new ChangeBetweenPages(Path.of(arguments[0])));
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store(PAGE, 4);
        store.put("config", "main", Deployment.manifest(1,
                Deployment.route("book", "unsafe", "bookings", 6000, 400, 1, "") + ","
                        + Deployment.route("tag", "unsafe", "tags", 6000, 400, 1, ""),
                Deployment.service("bookings", 100) + "," + Deployment.service("tags", 100)));
        Engine leaving = new Engine("i-a-leaving", 0, this::serve, record);
        Engine staying = new Engine("i-b-staying", 0, this::serve, record);
        store.put("servers", leaving.id, leaving.entry("bookings", "oviedo", 6, "ready"));
        store.put("servers", staying.id, staying.entry("bookings", "gijon", 6, "ready"));
        for (int number = 0; number < OTHERS; number++) {
            Engine other = new Engine(String.format("i-c-%02d", number), 0, this::serve, record);
            store.put("servers", other.id, other.entry("tags", "oviedo", 6, "ready"));
        }
        Deployment deployment = new Deployment(store, 1, record);
        Deployment.Machine machine = deployment.machines.get(0);
        deployment.start();
        Thread.sleep(2000);
        if (TROUBLE) {
            machine.signal("KILL");
            machine.awaitExit(5000);
            store.setHook((kind, after) -> {
                if (kind.equals("servers") && !after.isEmpty() && leavingSinceMs < 0) {
                    record.say("%s asks for the engines after %s", machine.name, after);
                    leave(store, leaving);
                }
            });
            machine.start();
            deployment.awaitReady();
        } else {
            leave(store, leaving);
        }
        Thread.sleep(2000);
        if (leavingSinceMs < 0) {
            throw new IllegalStateException("the list was not read in pages");
        }
        Thread.sleep(Math.max(0, leavingSinceMs + Math.max(DRAIN_MS, 6000) + 500 - record.nowMs()));
        Engine.daemon(() -> end(leaving));
        int served = Caller.callAtOnce(deployment.machines, "/book/1", "b", REQUESTS, record);
        record.say("reached the leaving engine later than drainMs: %s; %d of %d not served", late, REQUESTS - served, REQUESTS);
        return !late.isEmpty();
    }

    private void leave(Store store, Engine engine) {
        store.put("servers", engine.id, engine.entry("bookings", "oviedo", 6, "draining"));
        leavingSinceMs = record.nowMs();
        record.say("store: %s drains", engine.id);
    }

    private void end(Engine engine) {
        try {
            Thread.sleep(RUN_MS / 2);
            engine.crash();
            record.add("engine %s: has ended", engine.id);
        } catch (IOException | InterruptedException failure) {
            record.say("engine %s: %s", engine.id, failure);
        }
    }

    private boolean serve(Engine engine, Engine.Request request) throws IOException, InterruptedException {
        request.readBody();
        boolean leaves = engine.id.equals("i-a-leaving") && leavingSinceMs >= 0;
        long sinceMs = record.nowMs() - leavingSinceMs;
        record.add("engine %s: runs %s%s", engine.id, request.id(), leaves ? ", " + sinceMs + " ms after it said that it drains" : "");
        if (leaves && sinceMs > DRAIN_MS) {
            late.add(request.id());
        }
        Thread.sleep(RUN_MS);
        request.answer(200, "Engine-Seal: seal\r\n" + (leaves ? "Server-Leaving: 1\r\n" : ""), Wire.ascii("booked"));
        return true;
    }
}
