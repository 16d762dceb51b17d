import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: objects by kind and name, with revisions, lists, watches and conditional writes. */
final class Store extends Server {

    private static final int PAGE_ITEMS = 500;

    private record Event(long revision, String kind, Map<String, Object> object, boolean removed) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    Store() throws IOException {
        super(0);
    }

    /** Creates or replaces an object as the operator or an engine does; returns when the store has it. */
    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> object = kind(kind).computeIfAbsent(name, _name -> newObject(name));
        object.put("spec", spec);
        changed(kind, object, false);
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> object = kind(kind).remove(name);
        if (object != null) {
            changed(kind, object, true);
        }
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, _kind -> new TreeMap<>());
    }

    private Map<String, Object> newObject(String name) {
        return Json.object(
                "metadata",
                Json.object("name", name, "revision", 0L, "created", revision + 1, "finalizers", List.of()),
                "spec",
                Json.object(),
                "status",
                Json.object());
    }

    @SuppressWarnings("unchecked")
    private void changed(String kind, Map<String, Object> object, boolean removed) {
        revision++;
        Map<String, Object> copy = new LinkedHashMap<>(object);
        Map<String, Object> metadata = new LinkedHashMap<>((Map<String, Object>) object.get("metadata"));
        if (!removed) {
            metadata.put("revision", revision);
            object.put("metadata", metadata);
        }
        copy.put("metadata", metadata);
        history.add(new Event(revision, kind, copy, removed));
        notifyAll();
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
            byte[] body = Http.readBody(in, head);
            Answer answer = answer(head, new String(body, StandardCharsets.UTF_8));
            byte[] text = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
            String start = "HTTP/1.1 " + answer.status() + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                    + text.length + "\r\n\r\n";
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            out.write(text);
            out.flush();
        }
    }

    private record Answer(int status, Object body) {}

    private Answer answer(Http.Head head, String body) {
        String[] target = head.target().split("\\?", 2);
        String[] path = target[0].substring("/api/objects/".length()).split("/");
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String kind = path[0];
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
        return switch (head.method()) {
            case "GET" -> query.containsKey("watch")
                    ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")))
                    : name.isEmpty() ? list(kind, query.getOrDefault("after", "")) : get(kind, name);
            case "POST" -> create(kind, body);
            case "PUT" -> replace(kind, name, body, path.length > 2);
            case "DELETE" -> remove(kind, name);
            default -> new Answer(405, Json.object());
        };
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new TreeMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                result.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private synchronized Answer list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        for (Map<String, Object> object : kind(kind).tailMap(after, false).values()) {
            if (items.size() == PAGE_ITEMS) {
                return new Answer(200, Json.object("items", items, "hasMore", true, "asOf", revision));
            }
            items.add(new LinkedHashMap<>(object));
        }
        return new Answer(200, Json.object("items", items, "hasMore", false, "asOf", revision));
    }

    private synchronized Answer get(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? new Answer(404, Json.object()) : new Answer(200, new LinkedHashMap<>(object));
    }

    private synchronized Answer watch(String kind, long since, long waitMilliseconds) {
        long end = System.nanoTime() + waitMilliseconds * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision() > since && event.kind().equals(kind)) {
                    events.add(Json.object("object", event.object(), "removed", event.removed()));
                }
            }
            long remaining = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remaining <= 0) {
                return new Answer(200, Json.object("events", events, "asOf", revision));
            }
            try {
                wait(remaining);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer create(String kind, String body) {
        Map<String, Object> sent = (Map<String, Object>) Json.read(body);
        String name = (String) ((Map<String, Object>) sent.get("metadata")).get("name");
        if (kind(kind).containsKey(name)) {
            return new Answer(409, kind(kind).get(name));
        }
        put(kind, name, sent.get("spec"));
        return new Answer(201, new LinkedHashMap<>(kind(kind).get(name)));
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer replace(String kind, String name, String body, boolean isStatus) {
        Map<String, Object> object = kind(kind).get(name);
        if (object == null) {
            return new Answer(404, Json.object());
        }
        Map<String, Object> sent = (Map<String, Object>) Json.read(body);
        Object stated = sent.get("metadata") instanceof Map<?, ?> metadata ? metadata.get("revision") : null;
        if (stated != null && !stated.equals(((Map<String, Object>) object.get("metadata")).get("revision"))) {
            return new Answer(409, new LinkedHashMap<>(object));
        }
        String field = isStatus ? "status" : "spec";
        if (!Json.write(object.get(field)).equals(Json.write(sent.get(field)))) {
            object.put(field, sent.get(field));
            changed(kind, object, false);
        }
        return new Answer(200, new LinkedHashMap<>(object));
    }

    private synchronized Answer remove(String kind, String name) {
        if (!kind(kind).containsKey(name)) {
            return new Answer(404, Json.object());
        }
        delete(kind, name);
        return new Answer(200, Json.object());
    }
}
