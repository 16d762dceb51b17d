package org.cowslippick.cli.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entries that stop within the head of their response and close. */
class StoppedResponseTest {

    private static final int TIMEOUT_SECONDS = 20;

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX-Requ", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n"})
    void aResponseThatStopsInItsHeadIsLost(String head) throws Exception {
        assertLost(head, RatpackHttpClient::sendAsync);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX-Requ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"})
    void aStreamThatStopsInItsHeadIsLost(String head) throws Exception {
        assertLost(head, (client, request) -> client.streamAsync(request, _line -> {}));
    }

    private static void assertLost(
            String head,
            BiFunction<RatpackHttpClient, HttpRequest, CompletableFuture<Either<HttpFault, HttpResponse>>> send)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                RatpackHttpClient client = new RatpackHttpClient(Duration.ofSeconds(TIMEOUT_SECONDS))) {
            new Thread(() -> respond(server, head), "entry").start();
            HttpRequest request = HttpRequest.get(HostAndPort.fromParts("127.0.0.1", server.getLocalPort()), "/");
            assertEquals(
                    Either.left(HttpFault.RESPONSE_LOST),
                    send.apply(client, request).get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private static void respond(ServerSocket server, String head) {
        try (Socket connection = server.accept()) {
            BufferedReader request =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            while (!request.readLine().isEmpty()) {
                // The request has no body.
            }
            connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException _closed) {
            // The test has ended.
        }
    }
}
