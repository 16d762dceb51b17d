package org.cowslippick.fleet.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.base.Splitter;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.cowslippick.core.time.ManualTimerService;
import org.junit.jupiter.api.Test;

/** A platform that sends its response a second time, while the next request on the connection is pending. */
class HttpPlatformConnectionTest {

    private static final Splitter WORDS = Splitter.on(' ');
    private static final ObjectKey ONE = new ObjectKey("kind", "one");
    private static final ObjectKey OTHER = new ObjectKey("kind", "other");

    @Test
    void aLateSecondResponseIsNotThatOfTheNextCall() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                HttpPlatform platform = HttpPlatform.standalone(
                        URI.create("http://127.0.0.1:" + server.getLocalPort()), new ManualTimerService())) {
            new Thread(() -> acceptConnections(server), "platform").start();
            assertEquals(
                    Either.right(new StoredObject(ONE, 1, "one")),
                    platform.get(ONE).join());
            assertEquals(
                    Either.right(new StoredObject(OTHER, 1, "other")),
                    platform.get(OTHER).join());
        }
    }

    private static void acceptConnections(ServerSocket server) {
        try {
            while (true) {
                Socket connection = server.accept();
                new Thread(() -> serve(connection), "connection").start();
            }
        } catch (IOException _closed) {
            // The test has ended.
        }
    }

    private static void serve(Socket connection) {
        try (connection) {
            BufferedReader requests =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            String earlierResponse = "";
            for (String line = requests.readLine(); line != null; line = requests.readLine()) {
                String path = WORDS.splitToList(line).get(1);
                while (!requests.readLine().isEmpty()) {
                    // Only the path matters.
                }
                String response = response(path.substring(path.lastIndexOf('/') + 1));
                write(connection.getOutputStream(), earlierResponse + response);
                earlierResponse = response;
            }
        } catch (IOException _closed) {
            // The client has closed the connection.
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String response(String name) {
        String body = "{\"name\":\"" + name + "\",\"version\":1,\"value\":\"" + name + "\"}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
