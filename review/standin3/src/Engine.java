import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine of an application service or of a model service, with its entry in the store. */
class Engine implements AutoCloseable {
    /** A request that the engine began to run. */
    record Run(double at, String attempt, String target, Map<String, String> headers) {}

    final String id;
    final String service;
    final String zone;
    final Store store;
    final int slots;
    volatile long born = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final AtomicInteger running = new AtomicInteger();
    volatile int workMs = 20;
    volatile String state = "ready";
    private volatile ServerSocket server;
    private final int port;
    private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();
    private volatile boolean stopped;
    private volatile boolean beating = true;
    private long sequence;

    Engine(Store store, String id, String service, String zone, int slots) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.server = listen(0);
        this.port = server.getLocalPort();
        Threads.start("engine " + id, () -> accept(server));
        Threads.start("beat " + id, () -> {
            while (!stopped && beating) {
                beat();
                Threads.sleep(1.2);
            }
        });
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket created = new ServerSocket();
        created.setReuseAddress(true);
        created.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        return created;
    }

    /** Ends all channels and refuses new ones, as a process that has crashed; it is back after some seconds. */
    synchronized void crash(double downS) {
        if (server.isClosed()) {
            return;
        }
        Record.line("engine %s crashes", id);
        try {
            server.close();
            for (Socket socket : open.keySet()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException failure) {
            Record.line("engine %s: %s", id, failure);
        }
        Threads.start("restart " + id, () -> {
            Threads.sleep(downS);
            restart();
        });
    }

    private synchronized void restart() {
        try {
            server = listen(port);
            born = System.currentTimeMillis();
            ServerSocket current = server;
            Threads.start("engine " + id, () -> accept(current));
            Record.line("engine %s is back", id);
            beat();
        } catch (IOException failure) {
            Record.line("engine %s can't start again: %s", id, failure);
        }
    }

    boolean isDown() {
        return server.isClosed();
    }

    synchronized void beat() {
        if (beating && !isDown()) {
            sequence++;
            store.report(id, entry(), sequence);
        }
    }

    Map<String, Object> entry() {
        return Json.of(
                "service", service, "address", address(), "zone", zone, "version", "v1", "slots", slots, "state", state,
                "coldRemainingMs", 0, "born", born);
    }

    /** Reports that the engine leaves; the store has confirmed it on return. */
    synchronized void drain() {
        state = "draining";
        beat();
    }

    /** Ends the reports; removes the entry. */
    synchronized void leave() {
        beating = false;
        store.remove("servers", id);
    }

    private void accept(ServerSocket listening) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.put(socket, true);
                Threads.start("engine-channel", () -> serve(socket));
            } catch (IOException _closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null && !stopped; request = Http.read(in)) {
                handle(request, out);
            }
        } catch (IOException | RuntimeException _ended) {
            // The caller has gone.
        } finally {
            open.remove(socket);
        }
    }

    void handle(Http.Message request, OutputStream out) throws IOException {
        String attempt = request.header("attempt-id");
        if (!request.header("expect-instance").isEmpty()
                && !request.header("expect-instance").equals(id)) {
            answer(out, "421 Misdirected Request", attempt, "Instance-Id: " + id + "\r\n", "");
            return;
        }
        if (running.incrementAndGet() > slots * 4) {
            running.decrementAndGet();
            answer(out, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n", "");
            return;
        }
        try {
            Run run = new Run(Record.now(), attempt, request.target(), request.headers);
            runs.add(run);
            Record.line("engine %s runs %s %s", id, attempt, request.first);
            run(request, out, attempt);
        } finally {
            running.decrementAndGet();
        }
    }

    void run(Http.Message request, OutputStream out, String attempt) throws IOException {
        Threads.sleep(workMs / 1000.0);
        answer(out, "200 OK", attempt, "Engine-Seal: seal-" + id + "-" + attempt + "\r\n", "done " + attempt + " by " + id + "\n");
    }

    static void answer(OutputStream out, String status, String attempt, String headers, String body)
            throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt + "\r\n" + headers
                + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        server.close();
        for (Socket socket : open.keySet()) {
            socket.close();
        }
    }
}
