import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: lists in pages, watches, and writes that may be conditional on a revision. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private record Event(long revision, String kind, String object, boolean removed) {}

    private record Held(long revision, long created, String spec, String status) {
        String text(String name) {
            return "{\"metadata\":{\"name\":" + Json.write(name) + ",\"revision\":" + revision + ",\"created\":" + created
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":" + status + "}";
        }
    }

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Held>> kinds = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<String, String> reported = new LinkedHashMap<>();
    private long revision = 100;
    private long historyStart = 0;

    Store() throws IOException {
        server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes as the operator, an engine or another writer; returns the revision, which confirms it. */
    synchronized long put(String kind, String name, Object spec) {
        return write(kind, name, Json.write(spec), null);
    }

    /** A report of an engine. The entry changes only when more than its sequence changes. */
    synchronized long report(String name, Map<String, Object> spec, long sequence) {
        String text = Json.write(spec);
        if (text.equals(reported.put(name, text)) && kinds.get("servers").containsKey(name)) {
            return kinds.get("servers").get(name).revision();
        }
        return write("servers", name, text.substring(0, text.length() - 1) + ",\"sequence\":" + sequence + "}", null);
    }

    /** Drops the history, as after the time that the store keeps it. */
    synchronized void forgetHistory() {
        historyStart = revision;
        history.clear();
    }

    synchronized void remove(String kind, String name) {
        reported.remove(name);
        Held held = kinds.computeIfAbsent(kind, _k -> new TreeMap<>()).remove(name);
        if (held != null) {
            revision++;
            history.add(new Event(revision, kind, held.text(name), true));
            notifyAll();
        }
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    private long write(String kind, String name, String spec, String status) {
        TreeMap<String, Held> objects = kinds.computeIfAbsent(kind, _k -> new TreeMap<>());
        Held before = objects.get(name);
        String newSpec = spec != null ? spec : before.spec();
        String newStatus = status != null ? status : before == null ? "{}" : before.status();
        if (before != null && before.spec().equals(newSpec) && before.status().equals(newStatus)) {
            return before.revision();
        }
        revision++;
        Held after = new Held(revision, before == null ? revision : before.created(), newSpec, newStatus);
        objects.put(name, after);
        history.add(new Event(revision, kind, after.text(name), false));
        notifyAll();
        return revision;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Threads.start("store-call", () -> serve(socket));
            } catch (IOException _closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String[] answer = handle(request);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(Http.bytes("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        } catch (IOException | RuntimeException _ended) {
            // The caller has gone.
        }
    }

    private String[] handle(Http.Message request) {
        String target = request.target();
        int mark = target.indexOf('?');
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        String[] path = (mark < 0 ? target : target.substring(0, mark)).split("/");
        String kind = path.length > 3 ? path[3] : "";
        String name = path.length > 4 ? decode(path[4]) : "";
        if (request.method().equals("GET") && query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
        }
        return change(request, kind, name, path.length > 5 && path[5].equals("status"), query);
    }

    private synchronized String[] change(
            Http.Message request, String kind, String name, boolean isStatus, Map<String, String> query) {
        TreeMap<String, Held> objects = kinds.computeIfAbsent(kind, _k -> new TreeMap<>());
        switch (request.method()) {
            case "GET" -> {
                if (name.isEmpty()) {
                    return new String[] {"200", list(objects, query.getOrDefault("after", ""))};
                }
                return objects.containsKey(name)
                        ? new String[] {"200", objects.get(name).text(name)}
                        : new String[] {"404", "{}"};
            }
            case "DELETE" -> {
                if (!objects.containsKey(name)) {
                    return new String[] {"404", "{}"};
                }
                remove(kind, name);
                return new String[] {"200", "{}"};
            }
            default -> {
                Map<String, Object> sent = Json.object(Json.read(request.text()));
                Map<String, Object> metadata = Json.object(sent.get("metadata"));
                boolean isCreation = request.method().equals("POST");
                String object = isCreation ? String.valueOf(metadata.get("name")) : name;
                Held before = objects.get(object);
                if (isCreation && before != null
                        || before != null
                                && metadata.get("revision") instanceof Long condition
                                && condition != before.revision()) {
                    return new String[] {"409", before.text(object)};
                }
                if (!isCreation && before == null) {
                    return new String[] {"404", "{}"};
                }
                write(
                        kind,
                        object,
                        isStatus ? null : Json.write(sent.get("spec")),
                        isStatus ? Json.write(sent.get("status")) : null);
                return new String[] {isCreation ? "201" : "200", objects.get(object).text(object)};
            }
        }
    }

    private String list(TreeMap<String, Held> objects, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Map.Entry<String, Held> entry : objects.tailMap(after, false).entrySet()) {
            String text = entry.getValue().text(entry.getKey());
            if (count > 0 && (count >= PAGE_ITEMS || items.length() + text.length() > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            items.append(count == 0 ? "" : ",").append(text);
            count++;
        }
        return "{\"items\":[" + items + "],\"hasMore\":" + hasMore + ",\"asOf\":" + revision + "}";
    }

    private synchronized String[] watch(String kind, long since, long waitMs) {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            if (since < historyStart) {
                return new String[] {"410", "{}"};
            }
            StringBuilder events = new StringBuilder();
            int count = 0;
            long asOf = revision;
            for (Event event : history) {
                if (event.revision() <= since || !event.kind().equals(kind)) {
                    continue;
                }
                if (count > 0 && events.length() + event.object().length() > PAGE_BYTES) {
                    break;
                }
                events.append(count == 0 ? "" : ",")
                        .append("{\"object\":")
                        .append(event.object())
                        .append(",\"removed\":")
                        .append(event.removed())
                        .append('}');
                asOf = event.revision();
                count++;
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (count > 0 || left <= 0) {
                return new String[] {"200", "{\"events\":[" + events + "],\"asOf\":" + (count > 0 ? asOf : revision) + "}"};
            }
            try {
                wait(left);
            } catch (InterruptedException _stopped) {
                Thread.currentThread().interrupt();
                return new String[] {"503", "{}"};
            }
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new LinkedHashMap<>();
        for (String pair : text.split("&")) {
            int equal = pair.indexOf('=');
            if (equal > 0) {
                query.put(pair.substring(0, equal), decode(pair.substring(equal + 1)));
            }
        }
        return query;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
