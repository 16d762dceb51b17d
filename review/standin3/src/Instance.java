import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** One process of the system, started with the command of the deploy file. */
final class Instance implements AutoCloseable {
    final String name;
    final String ip;
    final int front;
    final int ready;
    final int control;
    final int directory;
    final int peers;
    private final int metrics;
    private final Path folder;
    private final Path settings;
    Process process;
    private int starts;

    /** Ports are the same on all machines; each machine has a loopback address of its own. */
    static int[] freePorts(int count, int machines) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            while (ports[i] == 0) {
                ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                held.add(first);
                int port = first.getLocalPort();
                boolean isFree = true;
                for (int machine = 1; machine <= machines; machine++) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.bind(new InetSocketAddress("127.0.0." + (10 + machine), port));
                    } catch (IOException _taken) {
                        isFree = false;
                    }
                }
                ports[i] = isFree ? port : 0;
            }
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    Instance(Path folder, String name, int number, int[] ports, Map<String, Object> bounds, Store store, String zone)
            throws IOException {
        this.folder = folder;
        this.name = name;
        this.ip = "127.0.0." + (10 + number);
        this.front = ports[0];
        this.ready = ports[1];
        this.control = ports[2];
        this.directory = ports[3];
        this.peers = ports[4];
        this.metrics = ports[5];
        this.settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                Json.write(Json.of(
                        "node", name, "role", "entry", "machineClass", "front",
                        "serves", List.of("front", "directory"), "ip", ip, "zone", zone, "region", "asturias",
                        "zones", Json.of("oviedo", "asturias", "gijon", "asturias"),
                        "listen",
                                Json.of(
                                        "front", ip + ":" + front, "ready", ip + ":" + ready, "control",
                                        ip + ":" + control, "directory", ip + ":" + directory),
                        "internalPorts", List.of(peers, peers),
                        "seeds", List.of(), "bootstrap", true, "faultCounted", false,
                        "limits",
                                Json.of(
                                        "cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4200, "linkMbps",
                                        1000.0, "diskMb", 0),
                        "dataDir", null, "discovery", "platform", "entry", "directory", "heartbeatMs", 1200,
                        "contracts",
                                List.of(
                                        "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                                        "tenants", "quota", "platform"),
                        "tolerate", Json.of("machines", 2, "zones", 0, "regions", 0),
                        "bounds", bounds,
                        "platform",
                                Json.of(
                                        "address", store.address(), "form", "objects", "writesPerS", 400, "readsPerS",
                                        2000, "historyS", 20, "valueBytes", 1048576, "ttlMinMs", 1000))));
    }

    /** The bounds of the sheet of portalia-gates. */
    static Map<String, Object> bounds() {
        return Json.of(
                "seedLagS", 3, "reuseAfterS", 2, "contactMs", 4000, "ackMs", 5000, "catchUpS", 4, "drainMs", 3000,
                "graceS", 8, "lossSlackMs", 200, "configApplyMs", 3000, "downgradeSlackMs", 250, "maxStretchMs", 6000,
                "revokeStrict", false, "revokeMs", 5000, "retryBudgetRatio", 0.2, "budgetWindowS", 10,
                "budgetExtraTries", 54, "quotaWindowS", 8, "quotaOvershoot", 0.1, "quotaSlack", 140000, "recoveryS", 12,
                "passMs", 400, "reuseWindowS", 10, "ttl_max_s", 5);
    }

    String frontAddress() {
        return ip + ":" + front;
    }

    void start() throws IOException {
        Path root = Path.of(System.getProperty("root"));
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")));
        builder.directory(root.toFile());
        builder.environment().put("COWSLIPPICK_SETTINGS", settings.toString());
        builder.environment().put("COWSLIPPICK_METRICS_PORT", String.valueOf(metrics));
        starts++;
        File log = folder.resolve(name + "-" + starts + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        process = builder.start();
        Record.line("start %s as process %d", name, process.pid());
    }

    Path log() {
        return folder.resolve(name + "-" + starts + ".log");
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, ready), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream()
                    .write(Http.bytes("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
            Http.Message response = Http.read(socket.getInputStream());
            return response != null && response.status() == 200;
        } catch (IOException _down) {
            return false;
        }
    }

    boolean awaitReady(double seconds) {
        double end = Record.now() + seconds;
        while (Record.now() < end) {
            if (isReady()) {
                return true;
            }
            Threads.sleep(0.05);
        }
        return false;
    }

    /** Sends a signal, such as KILL, STOP, CONT, TERM or HUP. */
    void signal(String signal) throws IOException {
        Record.line("signal %s to %s", signal, name);
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (InterruptedException _stopped) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException _stopped) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
