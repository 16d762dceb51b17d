package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads heads and bodies of HTTP/1.1 messages. */
final class Wire {

    record Head(String line, Map<String, String> headers) {

        String header(String name) {
            return headers.get(name);
        }

        int length() {
            return Integer.parseInt(headers.getOrDefault("Content-Length", "0").strip());
        }
    }

    private Wire() {}

    /** Returns null at the end of the stream before the first byte. */
    static Head readHead(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = readLine(input); header != null && !header.isEmpty(); header = readLine(input)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
        }
        return new Head(line, headers);
    }

    static byte[] readExactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ends after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static byte[] readChunked(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(input);
            if (size == null) {
                throw new EOFException("the chunked body ends early");
            }
            int length = Integer.parseInt(size.strip(), 16);
            body.writeBytes(readExactly(input, length));
            readLine(input);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); ; next = input.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line ends early");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
