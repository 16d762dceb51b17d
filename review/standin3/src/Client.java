import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A requester's channel to one instance. */
final class Client implements AutoCloseable {
    private static final AtomicLong NUMBER = new AtomicLong();
    private static final String RUN = Long.toHexString(System.nanoTime());

    /** What a requester saw of one attempt; status 0 if the channel ended without an answer. */
    record Answer(String attempt, int status, String body, String retryAfter, String cause) {}

    final String address;
    private Socket socket;
    private InputStream in;

    Client(String address) {
        this.address = address;
    }

    static String newAttempt() {
        return RUN + "-" + NUMBER.incrementAndGet();
    }

    /** Sends a request on the kept channel, or on a new one, and reads the answer. */
    Answer call(String method, String target, String host, String headers, String body, int deadlineMs) {
        String attempt = newAttempt();
        Record.line("client sends %s %s %s to %s", attempt, method, target, address);
        Answer answer;
        try {
            connect();
            socket.setSoTimeout(deadlineMs);
            String length = body.isEmpty() && method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
            socket.getOutputStream()
                    .write(Http.bytes(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
                            + "\r\nDeadline-Ms: " + deadlineMs + "\r\n" + headers + length + "\r\n" + body));
            Http.Message response = Http.read(in);
            if (response == null) {
                answer = new Answer(attempt, 0, "", "", "channel closed");
            } else {
                answer = new Answer(
                        attempt, response.status(), response.text(), response.header("retry-after"), "");
                if (response.header("connection").equalsIgnoreCase("close")) {
                    close();
                }
            }
        } catch (IOException failure) {
            answer = new Answer(attempt, 0, "", "", failure.toString());
        }
        if (answer.status() == 0) {
            close();
        }
        Record.line(
                "client gets %s: %d %s%s", answer.attempt(), answer.status(), answer.body().strip(), answer.cause());
        return answer;
    }

    private void connect() throws IOException {
        if (socket == null || socket.isClosed()) {
            Socket created = new Socket();
            created.setTcpNoDelay(true);
            int colon = address.lastIndexOf(':');
            created.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1000);
            socket = created;
            in = Http.buffered(created.getInputStream());
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException _ignored) {
            // Closed all the same.
        }
        socket = null;
    }
}
