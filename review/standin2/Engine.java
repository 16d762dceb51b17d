import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine of one service. The behaviour writes the answer to each request that it runs. */
final class Engine extends Server {

    /** Writes the answer to one request. */
    interface Behaviour {
        void answer(Run run, OutputStream out) throws IOException;
    }

    /** A request that the engine has begun to run. */
    record Run(Engine engine, String attemptId, Http.Head head, byte[] body, Socket socket, long startedNanos) {

        /** The headers of a success; its length or encoding follows. */
        String successHead() {
            return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nEngine-Seal: seal." + attemptId
                    + "\r\nKeep-Alive: timeout=5\r\n";
        }

        void answer(OutputStream out, byte[] answerBody) throws IOException {
            out.write((successHead() + "Content-Length: " + answerBody.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(answerBody);
            out.flush();
        }

        void startEvents(OutputStream out) throws IOException {
            out.write((successHead() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }

        static void chunk(OutputStream out, byte[] bytes) throws IOException {
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        static void endEvents(OutputStream out) throws IOException {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final long born = System.currentTimeMillis();
    private final Behaviour behaviour;
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();

    Engine(String id, String service, String zone, int slots, Behaviour behaviour) throws IOException {
        super(0);
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.behaviour = behaviour;
    }

    String id() {
        return id;
    }

    int runsOf(String attemptId) {
        AtomicInteger count = runsById.get(attemptId);
        return count == null ? 0 : count.get();
    }

    /** Writes the engine's entry to the store. */
    void register(Store store, String state) {
        store.put(
                "servers",
                id,
                Json.object(
                        "service", service,
                        "address", address(),
                        "zone", zone,
                        "version", "1",
                        "slots", slots,
                        "state", state,
                        "coldRemainingMs", 0,
                        "sequence", 1,
                        "born", born));
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
            byte[] body = Http.readBody(in, head);
            String attemptId = head.header("Attempt-Id");
            if (head.target().startsWith("/health")) {
                plain(out, 200, "Instance-Id: " + id + "\r\n");
            } else if (!head.header("Expect-Instance").equals(id)) {
                plain(out, 421, "Not-Executed: 1\r\nAttempt-Id: " + attemptId + "\r\n");
            } else {
                Run run = new Run(this, attemptId, head, body, socket, System.nanoTime());
                runsById.computeIfAbsent(attemptId, _id -> new AtomicInteger()).incrementAndGet();
                behaviour.answer(run, out);
            }
        }
    }

    private static void plain(OutputStream out, int status, String headers) throws IOException {
        out.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
