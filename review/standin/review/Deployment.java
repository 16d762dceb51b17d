package review;

import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Processes of the system, started with the command of the deploy file, in zones of one region. */
final class Deployment {

    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private static final int FIRST_PORT = 11_000;
    private static final int LAST_PORT = 31_000;
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    private static final String RATES = "\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetExtraTries\":54,"
            + "\"quotaWindowS\":8,\"quotaOvershoot\":0.1,\"quotaSlack\":140000";

    /** One machine with its process, which can be started again. */
    final class Machine {
        final String name;
        final String zone;
        final InetSocketAddress front = free();
        final InetSocketAddress ready = free();
        private final InetSocketAddress directory = free();
        private final InetSocketAddress peers = free();
        private final InetSocketAddress metrics = free();
        private Process process;
        private int starts;

        Machine(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings());
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("COWSLIPPICK_SETTINGS", settings.toString());
            builder.environment().put("COWSLIPPICK_METRICS_PORT", String.valueOf(metrics.getPort()));
            starts++;
            builder.redirectErrorStream(true)
                    .redirectOutput(folder.resolve(name + "-" + starts + ".log").toFile());
            process = builder.start();
            running.add(process);
            record.add("%s: process %d started", name, process.pid());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitStatus() {
            return process.exitValue();
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.add("%s: SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        boolean awaitExit(long milliseconds) throws InterruptedException {
            return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
        }

        boolean isReady() {
            return status(ready, "/api/readiness").equals("200");
        }

        /** The value of a gauge of the process, -1 if it can't be read. */
        double gauge(String name) {
            Matcher line = Pattern.compile("(?m)^\\S*" + name + "(?:\\{[^}]*\\})? (\\S+)$").matcher(get(metrics, "/metrics"));
            return line.find() ? Double.parseDouble(line.group(1)) : -1;
        }

        /** Lines of the process's log that contain the text. */
        List<String> log(String text) throws IOException {
            List<String> found = new ArrayList<>();
            for (int run = 1; run <= starts; run++) {
                Files.readAllLines(folder.resolve(name + "-" + run + ".log"), StandardCharsets.UTF_8).stream()
                        .filter(line -> line.contains(text))
                        .forEach(found::add);
            }
            return found;
        }

        private String settings() {
            return "{\"node\":\"" + name + "\",\"role\":\"entry\",\"machineClass\":\"front\",\"serves\":[\"front\",\"directory\"],"
                    + "\"ip\":\"127.0.0.1\",\"zone\":\"" + zone + "\",\"region\":\"asturias\","
                    + "\"zones\":{\"oviedo\":\"asturias\",\"gijon\":\"asturias\"},\"listen\":{\"front\":\"" + text(front)
                    + "\",\"ready\":\"" + text(ready) + "\",\"directory\":\"" + text(directory) + "\"},\"internalPorts\":["
                    + peers.getPort() + "," + peers.getPort() + "],\"seeds\":[],\"bootstrap\":" + (starts == 0)
                    + ",\"faultCounted\":false,\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":430,\"maxFds\":4200,"
                    + "\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"directory\","
                    + "\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                    + "\"engine\",\"stream\",\"tenants\",\"quota\",\"platform\"],\"tolerate\":{\"machines\":2,\"zones\":0,"
                    + "\"regions\":0},\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":4000,\"ackMs\":5000,"
                    + "\"catchUpS\":4,\"drainMs\":3000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":3000,"
                    + "\"downgradeSlackMs\":250,\"maxStretchMs\":6000,\"recoveryS\":12,\"ttl_max_s\":5," + RATES + "},"
                    + "\"platform\":{\"address\":\"" + store.address()
                    + "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
                    + "\"valueBytes\":1048576,\"ttlMinMs\":1000}}";
        }
    }

    final Store store;
    final List<Machine> machines = new ArrayList<>();
    private final Path folder;
    private final Record record;
    private final List<Process> running = new ArrayList<>();

    Deployment(Store store, int count, Record record) throws IOException {
        this.store = store;
        this.record = record;
        folder = Files.createTempDirectory("cowslippick-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        for (int number = 1; number <= count; number++) {
            String zone = number % 2 == 1 ? "oviedo" : "gijon";
            machines.add(new Machine("front-" + zone + "-" + number, zone));
        }
    }

    Path folder() {
        return folder;
    }

    void start() throws IOException, InterruptedException {
        for (Machine machine : machines) {
            machine.start();
        }
        awaitReady();
    }

    void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!machines.stream().allMatch(Machine::isReady)) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("the system did not become ready");
            }
            Thread.sleep(100);
        }
        record.add("all machines are ready");
    }

    /** Ends all processes, also those that are stopped. */
    void stop() {
        running.forEach(Process::destroyForcibly);
    }

    static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    /** A manifest with one tenant without an allowance and the given routes and services. */
    static String manifest(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY
                + "\"],\"priority\":1,\"unit\":\"tokens\",\"uncachedTokens\":200,\"ratePerS\":0,\"burst\":0}]}";
    }

    static String route(String prefix, String kind, String service, int timeoutMs, int targetMs, int attempts, String more) {
        return "{\"name\":\"r-" + prefix + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + prefix + "/\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs + ",\"priority\":0,\"service\":\""
                + service + "\",\"maxAttempts\":" + attempts + ",\"anonymous\":false,\"sticky\":false" + more + "}";
    }

    static String service(String name, int maxConnections) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":" + maxConnections
                + ",\"protocol\":\"h1\",\"tls\":false}";
    }

    private static List<String> command() throws IOException {
        String deploy = Files.readString(Path.of("deploy", "system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no command");
        }
        return List.of(run.group(1).split(" "));
    }

    /** A free port below those that the operating system gives to outgoing connections. */
    private static InetSocketAddress free() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (TAKEN.add(port)) {
                    return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
                }
            } catch (BindException _inUse) {
                TAKEN.add(port);
            }
        }
    }

    private static String status(InetSocketAddress address, String path) {
        try {
            HttpURLConnection connection = open(address, path);
            return String.valueOf(connection.getResponseCode());
        } catch (IOException failure) {
            return String.valueOf(failure.getMessage());
        }
    }

    private static String get(InetSocketAddress address, String path) {
        try {
            return new String(open(address, path).getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException _unavailable) {
            return "";
        }
    }

    private static HttpURLConnection open(InetSocketAddress address, String path) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://" + text(address) + path).toURL().openConnection();
        connection.setConnectTimeout(1000);
        connection.setReadTimeout(1000);
        return connection;
    }
}
