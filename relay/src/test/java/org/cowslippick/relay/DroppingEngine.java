package org.cowslippick.relay;

import com.google.common.net.HostAndPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/** An engine that keeps connections, and forgets one without telling its peer: it resets it when further bytes arrive. */
final class DroppingEngine implements AutoCloseable {

    private final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String response;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile int dropped;
    private final AtomicReference<String> unasked = new AtomicReference<>("");

    DroppingEngine(String response) throws IOException {
        this.response = response;
        daemon(this::accept);
    }

    HostAndPort address() {
        return HostAndPort.fromParts("127.0.0.1", serverSocket.getLocalPort());
    }

    /** Drops all connections that are open now. */
    void drop() {
        dropped = sockets.size();
    }

    /** Makes the engine write bytes as soon as the first byte of a request arrives on an open connection, once. */
    void writeBeforeNextRead(String bytes) {
        unasked.set(bytes);
    }

    /** Heads and bodies of the requests that arrived whole. */
    List<String> requests() {
        return requests;
    }

    int connections() {
        return sockets.size();
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }

    private void accept() {
        try {
            while (!serverSocket.isClosed()) {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                int number = sockets.size();
                daemon(() -> serve(socket, number));
            }
        } catch (IOException _closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            InputStream input = socket.getInputStream();
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            for (int next = input.read(); next >= 0; next = input.read()) {
                if (number <= dropped) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                socket.getOutputStream().write(unasked.getAndSet("").getBytes(StandardCharsets.ISO_8859_1));
                request.write(next);
                if (isWhole(request.toString(StandardCharsets.ISO_8859_1))) {
                    String text = request.toString(StandardCharsets.ISO_8859_1);
                    requests.add(text);
                    request.reset();
                    socket.getOutputStream()
                            .write(response.replace("{id}", header(text, "x-attempt: "))
                                    .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException _reset) {
            // The relay has closed the connection.
        }
    }

    private static boolean isWhole(String request) {
        int end = request.indexOf("\r\n\r\n");
        String length = header(request, "content-length: ");
        return end >= 0 && request.length() == end + 4 + (length.isEmpty() ? 0 : Integer.parseInt(length));
    }

    private static String header(String request, String name) {
        return request.lines()
                .filter(line -> line.regionMatches(true, 0, name, 0, name.length()))
                .map(line -> line.substring(name.length()))
                .findFirst()
                .orElse("");
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "dropping-engine");
        thread.setDaemon(true);
        thread.start();
    }
}
