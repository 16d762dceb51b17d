package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's store: linearizable objects with pages, watches and a history that can be dropped. */
final class Store {

    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    /** Called before a list call is answered, with the kind and the name after which the page begins. */
    interface ListHook {
        void beforePage(String kind, String after);
    }

    private record Item(String kind, String name, long revision, String spec) {

        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Event(Item item, boolean removed) {

        String json() {
            return "{\"removed\":" + removed + ",\"object\":" + item.json() + "}";
        }
    }

    private final HttpServer server;
    private final Map<String, TreeMap<String, Item>> objects = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final int pageSize;
    private final long answerMs;
    private long revision = 500;
    private long oldest = 500;
    private volatile ListHook hook = (kind, after) -> {};

    Store(int pageSize, long answerMs) throws IOException {
        this.pageSize = pageSize;
        this.answerMs = answerMs;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/api/objects/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void setHook(ListHook newHook) {
        hook = newHook;
    }

    synchronized long put(String kind, String name, String spec) {
        revision++;
        Item item = new Item(kind, name, revision, spec);
        objects.computeIfAbsent(kind, _kind -> new TreeMap<>()).put(name, item);
        history.add(new Event(item, false));
        notifyAll();
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Item item = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (item != null) {
            revision++;
            history.add(new Event(new Item(kind, name, revision, item.spec()), true));
            notifyAll();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String[] path = exchange.getRequestURI().getPath().substring("/api/objects/".length()).split("/");
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            if (query.containsKey("watch")) {
                watch(exchange, path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
                return;
            }
            if (exchange.getRequestMethod().equals("GET") && path.length == 1) {
                hook.beforePage(path[0], query.getOrDefault("after", ""));
            }
            Thread.sleep(answerMs);
            switch (exchange.getRequestMethod()) {
                case "GET" -> respond(exchange, 200, list(path[0], query.getOrDefault("after", "")));
                case "POST" -> create(exchange, path[0], body);
                case "PUT" -> replace(exchange, path[0], path[1], body);
                case "DELETE" -> {
                    remove(path[0], path[1]);
                    respond(exchange, 200, "{}");
                }
                default -> respond(exchange, 405, "{}");
            }
        } catch (InterruptedException _interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private synchronized String list(String kind, String after) {
        List<Item> rest = new ArrayList<>(
                objects.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values());
        List<String> page = rest.stream().limit(pageSize).map(Item::json).toList();
        return "{\"items\":[" + String.join(",", page) + "],\"hasMore\":" + (rest.size() > pageSize) + ",\"asOf\":"
                + revision + "}";
    }

    private void watch(HttpExchange exchange, String kind, long since, long waitMs)
            throws IOException, InterruptedException {
        String answer;
        synchronized (this) {
            long end = System.nanoTime() + waitMs * 1_000_000;
            while (events(kind, since).isEmpty() && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            answer = since < oldest
                    ? null
                    : "{\"events\":[" + String.join(",", events(kind, since)) + "],\"asOf\":" + revision + "}";
        }
        Thread.sleep(answerMs);
        respond(exchange, answer == null ? 410 : 200, answer == null ? "{}" : answer);
    }

    private List<String> events(String kind, long since) {
        return history.stream()
                .filter(event -> event.item().kind().equals(kind) && event.item().revision() > since)
                .map(Event::json)
                .toList();
    }

    private void create(HttpExchange exchange, String kind, String body) throws IOException {
        Matcher name = NAME.matcher(body);
        if (!name.find()) {
            respond(exchange, 400, "{}");
            return;
        }
        synchronized (this) {
            Item known = objects.getOrDefault(kind, new TreeMap<>()).get(name.group(1));
            if (known != null) {
                respond(exchange, 409, known.json());
                return;
            }
            put(kind, name.group(1), spec(body));
        }
        respond(exchange, 201, "{}");
    }

    private void replace(HttpExchange exchange, String kind, String name, String body) throws IOException {
        synchronized (this) {
            if (!objects.getOrDefault(kind, new TreeMap<>()).containsKey(name)) {
                respond(exchange, 404, "{}");
                return;
            }
            if (!objects.get(kind).get(name).spec().equals(spec(body))) {
                put(kind, name, spec(body));
            }
        }
        respond(exchange, 200, "{}");
    }

    /** The system writes metadata first and spec last. */
    private static String spec(String body) {
        int start = body.indexOf("\"spec\":") + "\"spec\":".length();
        return body.substring(start, body.lastIndexOf('}'));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new TreeMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    values.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
        }
        return values;
    }

    private static void respond(HttpExchange exchange, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
