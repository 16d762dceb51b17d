import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three engines breaks off a small part of its answers within the body, and then gives these answers a second time on
 * the same connection. No caller may get a success with a body that is not the engine's whole body.
 */
final class Case8 extends Case {

    private static final int CALLERS = 16;
    private static final int ENGINES = 3;
    private static final int WORK_MILLISECONDS = 10;
    private static final int ONE_ANSWER_IN = 50;
    private static final int SECOND_ANSWER_MILLISECONDS = 20;
    private static final int TIME_LIMIT_MILLISECONDS = 2_500;
    private static final double TROUBLE_SECONDS = 5.5;
    private static final String FILLING = "x".repeat(700);

    private record Outcome(String id, Caller.Answer answer) {}

    private final Store store = new Store();
    private final List<Engine> engines = new ArrayList<>();
    private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private final Queue<String> brokenOff = new ConcurrentLinkedQueue<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicInteger answersOfFaulty = new AtomicInteger();
    private Front front;
    private volatile double end;

    private Case8(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        main(new Case8(arguments[0]));
    }

    @Override
    boolean play() throws Exception {
        store.start();
        store.put(
                "config",
                "main",
                new Manifest()
                        .route("lookups", "/lookups/", "safe", "app", TIME_LIMIT_MILLISECONDS, 500, 2, false)
                        .service("app", 470)
                        .tenant("tenant-1", "key-1")
                        .version(1));
        for (int index = 0; index < ENGINES; index++) {
            boolean isFaulty = hasTrouble && index == 0;
            Engine engine = new Engine("engine-" + index, "app", "zone-a", 6, (run, out) -> answer(run, out, isFaulty));
            engine.start();
            engine.register(store, "ready");
            engines.add(engine);
        }
        front = startFront("front-1", "zone-a", store);
        requireReady(front);
        Threads.sleep(1_000);
        note(hasTrouble ? "engine-0 breaks off one answer in " + ONE_ANSWER_IN : "all engines are sound");
        end = seconds() + TROUBLE_SECONDS;
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < CALLERS; index++) {
            threads.add(Threads.start("caller", this::callOften));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private static String body(String id) {
        return "answer to " + id + " " + FILLING;
    }

    private void answer(Engine.Run run, OutputStream out, boolean isFaulty) throws IOException {
        Threads.sleep(WORK_MILLISECONDS);
        byte[] body = body(run.attemptId()).getBytes(StandardCharsets.ISO_8859_1);
        if (!isFaulty || answersOfFaulty.incrementAndGet() % ONE_ANSWER_IN != 0) {
            run.answer(out, body);
            return;
        }
        brokenOff.add(run.attemptId());
        out.write((run.successHead() + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body, 0, body.length / 2);
        out.flush();
        Threads.sleep(SECOND_ANSWER_MILLISECONDS);
        run.answer(out, body);
    }

    private void callOften() {
        while (seconds() < end) {
            try (Caller caller = new Caller(front.callerPort(), TIME_LIMIT_MILLISECONDS + 1_000)) {
                boolean isOpen = true;
                while (isOpen && seconds() < end) {
                    String id = "lookup-" + lastId.incrementAndGet();
                    caller.send(
                            "GET /lookups/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                                    + TIME_LIMIT_MILLISECONDS + "\r\nCredential: key-1\r\n\r\n",
                            new byte[0]);
                    Caller.Answer answer = caller.receive();
                    outcomes.add(new Outcome(id, answer));
                    isOpen = answer.complete() && !answer.header("Connection").equalsIgnoreCase("close");
                }
            } catch (IOException refused) {
                note("a caller could not connect: " + refused.getMessage());
                Threads.sleep(100);
            }
        }
    }

    private boolean judge() {
        List<Outcome> wrong = outcomes.stream()
                .filter(outcome -> outcome.answer().complete() && outcome.answer().status() == 200)
                .filter(outcome -> !text(outcome).equals(body(outcome.id())))
                .toList();
        long successes = outcomes.stream()
                .filter(outcome -> outcome.answer().complete() && outcome.answer().status() == 200)
                .count();
        note(outcomes.size() + " requests, " + successes + " successes; " + brokenOff.size() + " answers were broken off");
        wrong.forEach(outcome -> note(outcome.id() + ": status 200, seal " + outcome.answer().header("Engine-Seal")
                + ", complete, broken off by the engine: " + brokenOff.contains(outcome.id()) + ", runs "
                + engines.stream().mapToInt(engine -> engine.runsOf(outcome.id())).sum() + ", body from byte 340: "
                + text(outcome).substring(340, Math.min(460, text(outcome).length())).replace("\r\n", "\\r\\n")));
        note(wrong.size() + " successes have a body that is not the engine's whole body");
        return !wrong.isEmpty();
    }

    private static String text(Outcome outcome) {
        return new String(outcome.answer().body(), StandardCharsets.ISO_8859_1);
    }
}
