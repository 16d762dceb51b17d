package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One machine gets SIGHUP while it streams answers that last some seconds. */
final class Reload extends Case {

    private static final int STREAMS = 12;
    private static final int EVENTS = 50;
    private static final long EVENT_MS = 200;

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    Reload(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        run(new Reload(Path.of(arguments[0])));
    }

    @Override
    boolean isBroken() throws Exception {
        Store store = new Store(500, 4);
        store.put("config", "main", Deployment.manifest(1,
                Deployment.route("report", "streaming", "model", 15000, 800, 1, ",\"targetGapMs\":300,\"resumable\":false"),
                Deployment.service("model", 360)));
        for (int number = 1; number <= 3; number++) {
            Engine engine = new Engine("i-model-" + number, 0, this::stream, record);
            store.put("servers", engine.id, engine.entry("model", "oviedo", 10, "ready"));
        }
        Deployment deployment = new Deployment(store, 3, record);
        deployment.start();
        Thread.sleep(6000);
        Deployment.Machine machine = deployment.machines.get(0);
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            String id = "r-" + number;
            threads.add(Engine.daemon(() -> call(machine, id)));
            Thread.sleep(50);
        }
        Thread.sleep(1000);
        if (TROUBLE) {
            machine.signal("HUP");
            record.say("%s gets SIGHUP", machine.name);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.say("%d streams whole, %d cut without an end", whole.get(), lost.get());
        record.say(machine.isAlive() ? "the process runs" : "the process has ended by itself with status " + machine.exitStatus());
        return lost.get() > 0;
    }

    private void call(Deployment.Machine machine, String id) {
        Caller.Answer answer = Caller.call(machine.front, "POST", "/report/1", id, 15000, new byte[1000],
                "Model: m\r\nToken-Counts: 2000,300\r\n");
        int events = new String(answer.body(), java.nio.charset.StandardCharsets.US_ASCII).split("\n\n", -1).length - 1;
        record.say("requester: %s: status %d, %d of %d events, %s", id, answer.status(), events, EVENTS,
                answer.complete() ? "complete" : "cut: " + answer.failure());
        (answer.isSuccess() && events == EVENTS ? whole : lost).incrementAndGet();
    }

    private boolean stream(Engine engine, Engine.Request request) throws IOException, InterruptedException {
        request.readBody();
        record.add("engine %s: runs %s", engine.id, request.id());
        request.startEvents();
        for (int number = 1; number <= EVENTS; number++) {
            request.event(number);
            Thread.sleep(EVENT_MS);
        }
        request.endEvents();
        return true;
    }
}
