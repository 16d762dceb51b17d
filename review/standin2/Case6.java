import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers read whole answers slowly. The process holds the rest of these answers, and must go on serving. All requests are
 * judged by the time limits of their routes.
 */
final class Case6 extends Case {

    private static final int SLOW_CALLERS = 100;
    private static final int DOCUMENT_BYTES = 1_000_000;
    private static final int DOCUMENT_WORK_MILLISECONDS = 400;
    private static final int LOOKUP_WORK_MILLISECONDS = 20;
    private static final int SLOW_PART_BYTES = 16_384;
    private static final int SLOW_PAUSE_MILLISECONDS = 100;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    private static final int OTHER_CALLERS = 12;
    private static final int ROUTE_TIMEOUT_MILLISECONDS = 2_500;
    private static final int DOCUMENT_TIMEOUT_MILLISECONDS = 12_000;
    private static final int ALLOWANCE_MILLISECONDS = 500;
    private static final int GIVE_UP_MILLISECONDS = 15_000;
    private static final int PLAY_SECONDS = 14;
    private static final int MINIMUM_LATE = 8;
    private static final double LATE_SHARE = 0.25;

    private record Outcome(String id, double sentAt, long milliseconds, Caller.Answer answer) {}

    private final byte[] document = newDocument();
    private final Store store = new Store();
    private final List<Engine> engines = new ArrayList<>();
    private final Queue<Outcome> slowOutcomes = new ConcurrentLinkedQueue<>();
    private final Queue<Outcome> otherOutcomes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private Front front;

    private Case6(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        main(new Case6(arguments[0]));
    }

    private static byte[] newDocument() {
        byte[] bytes = new byte[DOCUMENT_BYTES];
        for (int index = 0; index < bytes.length; index++) {
            bytes[index] = (byte) ('a' + index / 997 % 26);
        }
        return bytes;
    }

    @Override
    boolean play() throws Exception {
        store.start();
        store.put(
                "config",
                "main",
                new Manifest()
                        .route("documents", "/documents/", "safe", "app", DOCUMENT_TIMEOUT_MILLISECONDS, 3_000, 2, false)
                        .route("lookups", "/lookups/", "safe", "app", ROUTE_TIMEOUT_MILLISECONDS, 500, 2, false)
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
        for (int index = 0; index < OTHER_CALLERS; index++) {
            threads.add(Threads.start("other", this::callOften));
        }
        Threads.sleep(2_000);
        note(SLOW_CALLERS + " callers ask for " + DOCUMENT_BYTES + " bytes each and read "
                + (hasTrouble ? "slowly" : "at once"));
        for (int index = 0; index < SLOW_CALLERS; index++) {
            threads.add(Threads.start("slow", this::callSlowly));
            Threads.sleep(5);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private void answer(Engine.Run run, java.io.OutputStream out) throws IOException {
        boolean isDocument = run.head().target().startsWith("/documents/");
        Threads.sleep(isDocument ? DOCUMENT_WORK_MILLISECONDS : LOOKUP_WORK_MILLISECONDS);
        run.answer(out, isDocument ? document : ("lookup of " + run.attemptId()).getBytes());
    }

    private String request(String id, String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: 15000\r\nCredential: key-1\r\n\r\n";
    }

    private void callOften() {
        double end = seconds() + PLAY_SECONDS;
        while (seconds() < end) {
            try (Caller caller = new Caller(front.callerPort(), GIVE_UP_MILLISECONDS)) {
                boolean isOpen = true;
                while (isOpen && seconds() < end) {
                    Outcome outcome = ask(caller, "other-" + lastId.incrementAndGet(), "/lookups/1", 0, 0);
                    otherOutcomes.add(outcome);
                    isOpen = outcome.answer().complete()
                            && !outcome.answer().header("Connection").equalsIgnoreCase("close");
                    Threads.sleep(100);
                }
            } catch (IOException refused) {
                note("another caller could not connect: " + refused.getMessage());
                Threads.sleep(200);
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
            socket.setSoTimeout(GIVE_UP_MILLISECONDS);
            try (Caller caller = new Caller(socket)) {
                ask(caller, "first-" + lastId.incrementAndGet(), "/lookups/2", 0, 0);
                slowOutcomes.add(ask(
                        caller,
                        "slow-" + lastId.incrementAndGet(),
                        "/documents/1",
                        hasTrouble ? SLOW_PART_BYTES : 0,
                        SLOW_PAUSE_MILLISECONDS));
            }
        } catch (IOException | ReflectiveOperationException failure) {
            note("a slow caller could not ask: " + failure);
        }
    }

    private Outcome ask(Caller caller, String id, String path, int partBytes, int pauseMilliseconds)
            throws IOException {
        double sentAt = seconds();
        caller.send(request(id, path), new byte[0]);
        Caller.Answer answer = caller.receive(partBytes, pauseMilliseconds);
        return new Outcome(id, sentAt, (long) ((seconds() - sentAt) * 1000), answer);
    }

    /** A request counts as unanswered until its answer is whole; slow callers take less than the time of their route. */
    private boolean judge() {
        record(slowOutcomes);
        record(otherOutcomes);
        if (slowOutcomes.size() < SLOW_CALLERS) {
            throw new IllegalStateException("only " + slowOutcomes.size() + " slow callers could ask");
        }
        long longest = otherOutcomes.stream().mapToLong(Outcome::milliseconds).max().orElse(0);
        note(otherOutcomes.size() + " requests of the other callers; the longest took " + longest + " ms");
        long unanswered = countUnanswered(0);
        long late = countUnanswered(ALLOWANCE_MILLISECONDS);
        note(unanswered + " requests were unanswered at their route's timeoutMs, " + late + " of them half a second later");
        long lost = slowOutcomes.stream()
                .filter(outcome -> !outcome.answer().complete() && hasRun(outcome.id()))
                .count();
        note(lost + " of " + slowOutcomes.size()
                + " slow callers had a run at a sound engine and never a whole answer on their kept channel");
        return late >= MINIMUM_LATE && late > LATE_SHARE * unanswered;
    }

    private long countUnanswered(int allowanceMilliseconds) {
        return countUnanswered(otherOutcomes, ROUTE_TIMEOUT_MILLISECONDS + allowanceMilliseconds)
                + countUnanswered(slowOutcomes, DOCUMENT_TIMEOUT_MILLISECONDS + allowanceMilliseconds);
    }

    private static long countUnanswered(Queue<Outcome> outcomes, int milliseconds) {
        return outcomes.stream()
                .filter(outcome -> !outcome.answer().complete() || outcome.milliseconds() > milliseconds)
                .count();
    }

    private boolean hasRun(String id) {
        return engines.stream().anyMatch(engine -> engine.runsOf(id) > 0);
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
