import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A request or a response; names of headers in lower case. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line without its end; null at the end of the stream before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("within a line");
            }
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head; null if the other side closed in order before it. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.first = first;
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            message.headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        return message;
    }

    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            readBody(message, in);
        }
        return message;
    }

    static void readBody(Message message, InputStream in) throws IOException {
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] part = chunk(in); part.length > 0; part = chunk(in)) {
                all.write(part);
            }
            message.body = all.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
    }

    /** Reads one chunk; empty for the last one. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("before a chunk");
        }
        byte[] part = exactly(in, Integer.parseInt(size.strip(), 16));
        line(in);
        return part;
    }

    static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("within a body");
        }
        return bytes;
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65536);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
