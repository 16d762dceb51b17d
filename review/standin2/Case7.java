import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some callers read whole answers slowly while others upload bodies of the allowed size, at which engines work for some
 * seconds. The process may refuse requests, but an answer that an engine has given must reach its caller.
 */
final class Case7 extends Case {

    private static final int UPLOADERS = 20;
    private static final int UPLOAD_BYTES = 3_900_000;
    private static final int UPLOAD_WORK_MILLISECONDS = 5_000;
    private static final int SLOW_CALLERS = 60;
    private static final int DOCUMENT_BYTES = 600_000;
    private static final int WORK_MILLISECONDS = 100;
    private static final int SLOW_PART_BYTES = 16_384;
    private static final int SLOW_PAUSE_MILLISECONDS = 200;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    private static final int TIME_LIMIT_MILLISECONDS = 15_000;
    private static final int PLAY_SECONDS = 16;
    private static final int TOLERATED_LOST = 3;

    private record Outcome(String id, double sentAt, long milliseconds, Caller.Answer answer) {}

    private final byte[] document = new byte[DOCUMENT_BYTES];
    private final byte[] upload = new byte[UPLOAD_BYTES];
    private final Store store = new Store();
    private final List<Engine> engines = new ArrayList<>();
    private final Queue<Outcome> slowOutcomes = new ConcurrentLinkedQueue<>();
    private final Queue<Outcome> uploadOutcomes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private Front front;

    private Case7(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        main(new Case7(arguments[0]));
    }

    @Override
    boolean play() throws Exception {
        store.start();
        store.put(
                "config",
                "main",
                new Manifest()
                        .route("documents", "/documents/", "safe", "app", TIME_LIMIT_MILLISECONDS, 3_000, 2, false)
                        .route("lookups", "/lookups/", "safe", "app", 2_500, 500, 2, false)
                        .route("uploads", "/uploads/", "unsafe", "app", TIME_LIMIT_MILLISECONDS, 6_000, 1, false)
                        .service("app", 470)
                        .tenant("tenant-1", "key-1")
                        .version(1));
        for (int index = 0; index < 6; index++) {
            Engine engine = new Engine("engine-" + index, "app", index % 2 == 0 ? "zone-a" : "zone-b", 6, this::answer);
            engine.start();
            engine.register(store, "ready");
            engines.add(engine);
        }
        front = startFront("front-1", "zone-a", store);
        requireReady(front);
        Threads.sleep(1_000);
        List<Thread> threads = new ArrayList<>();
        note(UPLOADERS + " callers upload " + UPLOAD_BYTES + " bytes each, again and again");
        for (int index = 0; index < UPLOADERS; index++) {
            threads.add(Threads.start("uploader", this::uploadOften));
            Threads.sleep(20);
        }
        Threads.sleep(2_000);
        note(SLOW_CALLERS + " callers ask for " + DOCUMENT_BYTES + " bytes each and read "
                + (hasTrouble ? "slowly" : "at once"));
        for (int index = 0; index < SLOW_CALLERS; index++) {
            threads.add(Threads.start("slow", this::callSlowly));
            Threads.sleep(30);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private void answer(Engine.Run run, OutputStream out) throws IOException {
        String path = run.head().target();
        Threads.sleep(path.startsWith("/uploads/") ? UPLOAD_WORK_MILLISECONDS : WORK_MILLISECONDS);
        run.answer(out, path.startsWith("/documents/") ? document : "done".getBytes());
    }

    private static String head(String method, String path, String id, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + TIME_LIMIT_MILLISECONDS + "\r\nCredential: key-1\r\n"
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    private void uploadOften() {
        double end = seconds() + PLAY_SECONDS;
        while (seconds() < end) {
            double sentAt = seconds();
            String id = "upload-" + lastId.incrementAndGet();
            try (Caller caller = new Caller(front.callerPort(), TIME_LIMIT_MILLISECONDS)) {
                caller.send(head("POST", "/uploads/1", id, UPLOAD_BYTES), upload);
                Caller.Answer answer = caller.receive();
                uploadOutcomes.add(new Outcome(id, sentAt, (long) ((seconds() - sentAt) * 1000), answer));
                Threads.sleep(answer.status() == 200 ? 50 : 1_000);
            } catch (IOException cut) {
                note(id + " was cut while it was sent: " + cut.getMessage());
                Threads.sleep(1_000);
            }
        }
    }

    /** Asks twice on one channel: a short lookup, and the document. */
    private void callSlowly() {
        try {
            Socket socket = new Socket();
            SegmentSize.limit(socket);
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress("127.0.0.1", front.callerPort()));
            socket.setSoTimeout(TIME_LIMIT_MILLISECONDS);
            try (Caller caller = new Caller(socket)) {
                caller.send(head("GET", "/lookups/1", "first-" + lastId.incrementAndGet(), 0), new byte[0]);
                caller.receive();
                String id = "slow-" + lastId.incrementAndGet();
                double sentAt = seconds();
                caller.send(head("GET", "/documents/1", id, 0), new byte[0]);
                Caller.Answer answer = caller.receive(hasTrouble ? SLOW_PART_BYTES : 0, SLOW_PAUSE_MILLISECONDS);
                slowOutcomes.add(new Outcome(id, sentAt, (long) ((seconds() - sentAt) * 1000), answer));
            }
        } catch (IOException | ReflectiveOperationException failure) {
            note("a slow caller could not ask: " + failure);
        }
    }

    private boolean judge() {
        record(uploadOutcomes);
        record(slowOutcomes);
        if (slowOutcomes.size() < SLOW_CALLERS) {
            throw new IllegalStateException("only " + slowOutcomes.size() + " slow callers could ask");
        }
        long uploaded = uploadOutcomes.stream()
                .filter(outcome -> outcome.answer().status() == 200)
                .count();
        long answered = slowOutcomes.stream()
                .filter(outcome -> outcome.answer().status() == 200 && outcome.answer().complete())
                .count();
        long lost = slowOutcomes.stream()
                .filter(outcome -> !outcome.answer().complete() && outcome.milliseconds() < TIME_LIMIT_MILLISECONDS)
                .filter(outcome -> engines.stream().anyMatch(engine -> engine.runsOf(outcome.id()) > 0))
                .count();
        note(uploaded + " uploads were answered with 200; " + answered + " of " + slowOutcomes.size()
                + " slow callers got their whole answer");
        note(lost + " kept channels were closed without a whole answer, though a sound engine had run the request and given"
                + " it, before the time limit");
        return lost > TOLERATED_LOST;
    }

    private void record(Queue<Outcome> outcomes) {
        outcomes.stream()
                .sorted(Comparator.comparingDouble(Outcome::sentAt))
                .forEach(outcome -> note(String.format(
                        "%s sent at %.3f, after %d ms: status %d, %d bytes, %s, runs %d",
                        outcome.id(),
                        outcome.sentAt(),
                        outcome.milliseconds(),
                        outcome.answer().status(),
                        outcome.answer().body().length,
                        outcome.answer().end(),
                        engines.stream().mapToInt(engine -> engine.runsOf(outcome.id())).sum())));
    }
}
