import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1 from a blocking stream. */
final class Http {

    private Http() {}

    /** The head of a message; header names are compared without case. */
    record Head(String firstLine, Map<String, String> headers) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Returns the next head; null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    /** Reads the body of a request, or of a response that states its length. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (isChunked(head)) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        String length = head.header("Content-Length");
        int expected = length.isEmpty() ? 0 : Integer.parseInt(length);
        byte[] body = in.readNBytes(expected);
        if (body.length < expected) {
            throw new EOFException("body ended after " + body.length + " of " + expected + " bytes");
        }
        return body;
    }

    static boolean isChunked(Head head) {
        return head.header("Transfer-Encoding").toLowerCase(Locale.ROOT).equals("chunked");
    }

    /** Returns the next chunk; an empty one is the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String sizeLine = requireLine(in);
        int size;
        try {
            size = Integer.parseInt(sizeLine.strip(), 16);
        } catch (NumberFormatException malformed) {
            throw new IOException("not a chunk size: \"" + shorten(sizeLine) + "\"");
        }
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException("chunk ended early");
        }
        String end = requireLine(in);
        if (!end.isEmpty()) {
            throw new IOException("no line end behind a chunk: \"" + shorten(end) + "\"");
        }
        return chunk;
    }

    private static String shorten(String text) {
        return text.substring(0, Math.min(60, text.length()));
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("stream ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new EOFException("stream ended within a line");
        }
        return null;
    }
}
