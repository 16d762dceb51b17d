import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    static Map<String, Object> object(Object... keysAndValues) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int index = 0; index < keysAndValues.length; index += 2) {
            result.put((String) keysAndValues[index], keysAndValues[index + 1]);
        }
        return result;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            writeString(string, out);
        } else {
            out.append(value);
        }
    }

    private static void writeString(String string, StringBuilder out) {
        out.append('"');
        for (char character : string.toCharArray()) {
            if (character == '"' || character == '\\') {
                out.append('\\').append(character);
            } else if (character < ' ') {
                out.append(String.format("\\u%04x", (int) character));
            } else {
                out.append(character);
            }
        }
        out.append('"');
    }

    private Object value() {
        skipSpace();
        char next = text.charAt(position);
        if (next == '{') {
            return map();
        } else if (next == '[') {
            return list();
        } else if (next == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            skipSpace();
            String key = string();
            skipSpace();
            position++;
            result.put(key, value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
            }
            skipSpace();
        }
        position++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            result.add(value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
            }
            skipSpace();
        }
        position++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char character = text.charAt(position++);
            if (character != '\\') {
                result.append(character);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 'r' -> result.append('\r');
                case 't' -> result.append('\t');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }
}
