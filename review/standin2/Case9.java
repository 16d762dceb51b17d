import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Callers whose channel has been idle for a while, though for less than the time that the manifest allows, ask for a stream
 * and read it slowly, but without a stop. Each must get the whole stream on its channel.
 */
final class Case9 extends Case {

    private static final int CALLERS = 8;
    private static final int IDLE_MILLISECONDS = 11_500;
    private static final int EVENTS = 64;
    private static final int EVENT_BYTES = 40_000;
    private static final int EVENT_PAUSE_MILLISECONDS = 100;
    private static final int PART_BYTES = 4_096;
    private static final int PART_PAUSE_MILLISECONDS = 200;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    private static final int TIME_LIMIT_MILLISECONDS = 15_000;
    private static final int TOLERATED_LOST = 3;

    private record Outcome(int caller, long milliseconds, Caller.Answer answer, int lastEvent) {}

    private final Store store = new Store();
    private final List<Engine> engines = new ArrayList<>();
    private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private Front front;

    private Case9(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        main(new Case9(arguments[0]));
    }

    @Override
    boolean play() throws Exception {
        store.start();
        store.put(
                "config",
                "main",
                new Manifest()
                        .route("drafts", "/drafts/", "streaming", "model", TIME_LIMIT_MILLISECONDS, 800, 1, false)
                        .service("model", 520)
                        .tenant("tenant-1", "key-1")
                        .version(1));
        for (int index = 0; index < 3; index++) {
            Engine engine = new Engine("engine-" + index, "model", "zone-a", 10, this::answer);
            engine.start();
            engine.register(store, "ready");
            engines.add(engine);
        }
        front = startFront("front-1", "zone-a", store);
        requireReady(front);
        Threads.sleep(1_000);
        note(CALLERS + " callers; the manifest's idleTimeoutMs is 15000, the channels idle for " + IDLE_MILLISECONDS
                + " ms, and the streams are read " + (hasTrouble ? "slowly" : "at once"));
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < CALLERS; index++) {
            int caller = index;
            threads.add(Threads.start("caller", () -> call(caller)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private void answer(Engine.Run run, OutputStream out) throws IOException {
        boolean isShort = run.attemptId().startsWith("first");
        run.startEvents(out);
        for (int number = 1; number <= (isShort ? 2 : EVENTS); number++) {
            Threads.sleep(EVENT_PAUSE_MILLISECONDS);
            String event = "id: " + number + "\ndata: " + "x".repeat(isShort ? 50 : EVENT_BYTES) + "\n\n";
            Engine.Run.chunk(out, event.getBytes(StandardCharsets.ISO_8859_1));
        }
        Engine.Run.endEvents(out);
        note("the engine has written the whole answer to " + run.attemptId());
    }

    private void call(int caller) {
        try {
            Socket socket = new Socket();
            SegmentSize.limit(socket);
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress("127.0.0.1", front.callerPort()));
            socket.setSoTimeout(TIME_LIMIT_MILLISECONDS);
            try (Caller connection = new Caller(socket)) {
                connection.send(request("first-" + caller), new byte[0]);
                Caller.Answer first = connection.receive();
                note("first-" + caller + ": status " + first.status() + ", " + first.end());
                Threads.sleep(IDLE_MILLISECONDS);
                long sentNanos = System.nanoTime();
                note("stream-" + caller + " is sent");
                connection.send(request("stream-" + caller), new byte[0]);
                Caller.Answer answer = connection.receive(
                        hasTrouble ? PART_BYTES : 0, PART_PAUSE_MILLISECONDS);
                outcomes.add(new Outcome(
                        caller, (System.nanoTime() - sentNanos) / 1_000_000, answer, lastEvent(answer)));
            }
        } catch (IOException | ReflectiveOperationException failure) {
            note("caller " + caller + " failed: " + failure);
        }
    }

    private static int lastEvent(Caller.Answer answer) {
        return new String(answer.body(), StandardCharsets.ISO_8859_1)
                .lines()
                .filter(line -> line.startsWith("id: "))
                .mapToInt(line -> Integer.parseInt(line.substring(4)))
                .max()
                .orElse(0);
    }

    private static String request(String id) {
        return "POST /drafts/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + TIME_LIMIT_MILLISECONDS + "\r\nCredential: key-1\r\nToken-Counts: 100,384\r\nContent-Length: 0\r\n\r\n";
    }

    private boolean judge() {
        outcomes.forEach(outcome -> note(String.format(
                "stream-%d after %d ms: status %d, last event %d of %d, %s",
                outcome.caller(),
                outcome.milliseconds(),
                outcome.answer().status(),
                outcome.lastEvent(),
                EVENTS,
                outcome.answer().end())));
        long lost = outcomes.stream()
                .filter(outcome -> !outcome.answer().complete() && outcome.milliseconds() < TIME_LIMIT_MILLISECONDS)
                .count();
        note(lost + " of " + outcomes.size() + " kept channels were closed without a whole answer, before the time limit");
        if (outcomes.size() < CALLERS) {
            throw new IllegalStateException("only " + outcomes.size() + " callers got as far as the stream");
        }
        return lost > TOLERATED_LOST;
    }
}
