import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started with the command of the deploy file. */
final class Front {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final String name;
    private final Path settingsFile;
    private final Path log;
    private final int callerPort;
    private final int readinessPort;
    private final int metricsPort;
    private Process process;

    Front(String name, String zone, Store store, Path folder, Map<String, Object> bounds) throws IOException {
        this.name = name;
        int[] ports = freePorts(5);
        this.callerPort = ports[0];
        this.readinessPort = ports[1];
        this.metricsPort = ports[4];
        this.settingsFile = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        Files.writeString(
                settingsFile,
                Json.write(Json.object(
                        "node", name,
                        "role", "entry",
                        "machineClass", "front",
                        "serves", List.of("front", "directory"),
                        "ip", "127.0.0.1",
                        "zone", zone,
                        "region", "region-1",
                        "zones", Json.object("zone-a", "region-1", "zone-b", "region-1"),
                        "listen",
                                Json.object(
                                        "front", "127.0.0.1:" + ports[0],
                                        "ready", "127.0.0.1:" + ports[1],
                                        "directory", "127.0.0.1:" + ports[2]),
                        "internalPorts", List.of(ports[3], ports[3]),
                        "seeds", List.of(),
                        "bootstrap", true,
                        "limits",
                                Json.object(
                                        "cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4200, "linkMbps", 1000.0),
                        "bounds", bounds,
                        "platform",
                                Json.object(
                                        "address", store.address(),
                                        "form", "objects",
                                        "writesPerS", 400,
                                        "readsPerS", 2000,
                                        "historyS", 20,
                                        "valueBytes", 1048576))));
    }

    /** The bounds of a small deployment. */
    static Map<String, Object> smallBounds() {
        return Json.object(
                "contactMs", 4000,
                "drainMs", 3000,
                "graceS", 8,
                "configApplyMs", 3000,
                "retryBudgetRatio", 0.2,
                "budgetWindowS", 10,
                "budgetExtraTries", 54,
                "quotaWindowS", 8,
                "quotaOvershoot", 0.1,
                "quotaSlack", 140000,
                "reuseWindowS", 10,
                "ttl_max_s", 5);
    }

    String name() {
        return name;
    }

    int callerPort() {
        return callerPort;
    }

    Process process() {
        return process;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no run command");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .directory(new File("."));
        builder.environment().put("COWSLIPPICK_SETTINGS", settingsFile.toString());
        builder.environment().put("COWSLIPPICK_METRICS_PORT", String.valueOf(metricsPort));
        process = builder.start();
    }

    /** Waits until the readiness call answers 200; returns whether it does in time. */
    boolean awaitReady(long milliseconds) {
        long end = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < end) {
            try {
                Caller.Answer answer = Caller.get(readinessPort, "/api/readiness");
                if (answer.status() == 200) {
                    return true;
                }
            } catch (IOException _notYet) {
                // It does not listen yet.
            }
            Threads.sleep(50);
        }
        return false;
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            held.add(socket);
            ports[index] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }
}
