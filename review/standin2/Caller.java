import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller's connection to one front. */
final class Caller implements AutoCloseable {

    /** An answer, whole or not; status 0 if no head arrived. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String end) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private final Socket socket;
    private final InputStream in;

    Caller(int port, int timeoutMilliseconds) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(timeoutMilliseconds);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Caller(Socket connected) throws IOException {
        socket = connected;
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Answer get(int port, String path) throws IOException {
        try (Caller caller = new Caller(port, 1000)) {
            caller.send("GET " + path + " HTTP/1.1\r\nHost: probe\r\n\r\n", new byte[0]);
            return caller.receive();
        }
    }

    void send(String head, byte[] body) throws IOException {
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Reads one answer to its end, or to the end of the connection. */
    Answer receive() {
        return receive(0, 0);
    }

    /** Reads as {@link #receive()} does, pausing after each part of a chunked answer. */
    Answer receive(int pauseEveryBytes, int pauseMilliseconds) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Http.Head head = null;
        try {
            head = Http.readHead(in);
            if (head == null) {
                return new Answer(0, Map.of(), new byte[0], false, "closed without an answer");
            }
            if (Http.isChunked(head)) {
                long sincePause = 0;
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                    body.writeBytes(chunk);
                    sincePause += chunk.length;
                    if (pauseEveryBytes > 0 && sincePause >= pauseEveryBytes) {
                        sincePause = 0;
                        Threads.sleep(pauseMilliseconds);
                    }
                }
            } else {
                int length = Integer.parseInt("0" + head.header("Content-Length"));
                byte[] part = new byte[pauseEveryBytes > 0 ? pauseEveryBytes : 65536];
                while (body.size() < length) {
                    int count = in.read(part, 0, Math.min(part.length, length - body.size()));
                    if (count < 0) {
                        throw new IOException("closed within the body");
                    }
                    body.write(part, 0, count);
                    if (pauseEveryBytes > 0) {
                        Threads.sleep(pauseMilliseconds);
                    }
                }
            }
            return new Answer(head.status(), head.headers(), body.toByteArray(), true, "complete");
        } catch (IOException | RuntimeException ended) {
            return new Answer(
                    head == null ? 0 : head.status(),
                    head == null ? Map.of() : head.headers(),
                    body.toByteArray(),
                    false,
                    String.valueOf(ended.getMessage()));
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
