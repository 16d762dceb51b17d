import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: a store, engines and instances; ends all that it started when it is closed. */
final class Site implements AutoCloseable {
    static final String HOST = "daba53.example";

    final Path folder;
    final Store store;
    final List<Instance> instances = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    long version = 1;

    Site() throws IOException {
        folder = Files.createTempDirectory("review-3-");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> instances.forEach(Instance::close)));
    }

    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    void addInstances(int count, Map<String, Object> bounds) throws IOException {
        int[] ports = Instance.freePorts(6, count);
        for (int number = 1; number <= count; number++) {
            instances.add(new Instance(
                    folder, "front-" + number, number, ports, bounds, store, number % 2 == 1 ? "oviedo" : "gijon"));
        }
        for (Instance instance : instances) {
            instance.start();
        }
    }

    void awaitReady() {
        for (Instance instance : instances) {
            if (!instance.awaitReady(30)) {
                throw new IllegalStateException(instance.name + " is not ready after 30 s");
            }
        }
    }

    static Map<String, Object> route(String name, String prefix, String kind, String service, Object... more) {
        Map<String, Object> route = Json.of(
                "name", name, "host", HOST, "pathPrefix", prefix, "kind", kind, "timeoutMs", 3000, "targetLatencyMs", 400,
                "priority", 1, "service", service, "maxAttempts", 1, "anonymous", false, "sticky", false, "resumable",
                false);
        route.putAll(Json.of(more));
        return route;
    }

    static Map<String, Object> limits() {
        return Json.of(
                "maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);
    }

    static Map<String, Object> service(String name) {
        return Json.of("name", name, "healthPath", "/health", "maxConnections", 100, "protocol", "h1", "tls", false);
    }

    /** Writes a manifest; the store has confirmed it on return. */
    void configure(List<?> routes, List<?> services, Map<String, Object> limits, List<?> tenants) {
        version += 3;
        Map<String, Object> manifest =
                Json.of("version", version, "routes", routes, "services", services, "limits", limits);
        if (tenants != null) {
            manifest.put("tenants", tenants);
        }
        store.put("config", "main", manifest);
        Record.line("manifest %d is confirmed", version);
    }

    @Override
    public void close() throws IOException {
        instances.forEach(Instance::close);
        for (Engine engine : engines) {
            engine.close();
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("kept " + folder);
        }
    }
}
