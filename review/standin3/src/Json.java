import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : new LinkedHashMap<>();
    }

    /** A map of alternating names and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    /** Text that is written as it is; it must be JSON. */
    record Raw(String text) {}

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Raw raw) {
            out.append(raw.text());
        } else if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                quote(String.valueOf(entry.getKey()), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof Number || value instanceof Boolean || value == null) {
            out.append(value);
        } else {
            quote(value.toString(), out);
        }
    }

    private static void quote(String text, StringBuilder out) {
        out.append('"');
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') {
            return readObject();
        }
        if (c == '[') {
            return readList();
        }
        if (c == '"') {
            return readString();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            skipSpace();
            String name = readString();
            skipSpace();
            at++;
            map.put(name, value());
            skipSpace();
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
        }
        at++;
        return map;
    }

    private List<Object> readList() {
        List<Object> list = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            list.add(value());
            skipSpace();
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
        }
        at++;
        return list;
    }

    private String readString() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at);
            if (c == '\\') {
                at++;
                char escaped = text.charAt(at);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
            at++;
        }
        at++;
        return out.toString();
    }

    private void skipSpace() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }
}
