import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Builds the operator's manifest. */
final class Manifest {

    private final List<Object> routes = new ArrayList<>();
    private final List<Object> services = new ArrayList<>();
    private final List<Object> tenants = new ArrayList<>();
    private final Map<String, Object> limits = Json.object(
            "maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);

    Manifest route(
            String name,
            String prefix,
            String kind,
            String service,
            int timeoutMs,
            int targetMs,
            int maxAttempts,
            boolean resumable) {
        routes.add(Json.object(
                "name", name,
                "host", "site.example",
                "pathPrefix", prefix,
                "kind", kind,
                "timeoutMs", timeoutMs,
                "targetLatencyMs", targetMs,
                "priority", 1,
                "service", service,
                "maxAttempts", maxAttempts,
                "anonymous", false,
                "sticky", false,
                "resumable", resumable,
                "targetGapMs", 300));
        return this;
    }

    Manifest service(String name, int maxConnections) {
        services.add(Json.object(
                "name", name, "healthPath", "/health", "maxConnections", maxConnections, "protocol", "h1", "tls", false));
        return this;
    }

    Manifest tenant(String name, String key) {
        tenants.add(Json.object("name", name, "apiKeys", List.of(key), "priority", 1));
        return this;
    }

    Map<String, Object> version(long version) {
        return Json.object(
                "version", version,
                "routes", List.copyOf(routes),
                "services", List.copyOf(services),
                "limits", limits,
                "tenants", List.copyOf(tenants));
    }
}
