package org.cowslippick.entry.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.net.HostAndPort;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.FencingSupport;
import org.cowslippick.core.world.PoolName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.entry.endpoint.EndpointCall.ApplicationCall;
import org.cowslippick.entry.endpoint.EndpointCall.ModelCall;
import ratpack.exec.internal.DefaultExecController;

/** Dispatches request-1 to an engine that writes the given bytes, and 404 on later connections. */
final class EngineDispatch {

    private static final int TIMEOUT_SECONDS = 20;
    private static final String CONTENT_LENGTH = "content-length: ";
    private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

    private EngineDispatch() {}

    /** The terminal call of the listener for a call of an application engine. */
    static String applicationOutcome(String response) throws Exception {
        return applicationOutcome(response, NOT_FOUND);
    }

    /** As above; the engine writes the second response on later connections. */
    static String applicationOutcome(String response, String later) throws Exception {
        return outcome(
                EndpointKind.APPLICATION, new ApplicationCall(new ServiceName("booking"), "{}"), response, later);
    }

    /** The terminal call of the listener for a stream of a model engine. */
    static String modelOutcome(String response) throws Exception {
        return outcome(EndpointKind.MODEL, new ModelCall("model-1", "[]", 1), response, NOT_FOUND);
    }

    private static String outcome(EndpointKind kind, EndpointCall call, String response, String later)
            throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        try (DefaultExecController controller = new DefaultExecController(1);
                EndpointHttpClient http = new EndpointHttpClient(controller);
                ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            new Thread(() -> serve(server, response, later), "engine").start();
            new EndpointClients(new ModelEngineClient(http), new ApplicationEngineClient(http))
                    .dispatch(
                            endpoint(kind, server.getLocalPort()),
                            new RequestId("request-1"),
                            call,
                            new OutcomeListener(outcome));
            return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static Endpoint endpoint(EndpointKind kind, int port) {
        return new Endpoint(
                new EndpointName("engine-1"),
                new PoolName("bookings"),
                kind,
                new FailureDomain("oviedo", new Region("asturias")),
                HostAndPort.fromParts("127.0.0.1", port),
                1,
                FencingSupport.IGNORED);
    }

    private static void serve(ServerSocket server, String response, String later) {
        try {
            respond(server, response);
            while (true) {
                respond(server, later);
            }
        } catch (IOException _closed) {
            // The dispatch has ended.
        }
    }

    private static void respond(ServerSocket server, String text) throws IOException {
        try (Socket socket = server.accept()) {
            readRequest(
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Reads a request to its end, as closing with unread bytes would reset the connection. */
    private static void readRequest(BufferedReader request) throws IOException {
        int length = 0;
        for (String line = request.readLine(); !line.isEmpty(); line = request.readLine()) {
            if (line.startsWith(CONTENT_LENGTH)) {
                length = Integer.parseInt(line.substring(CONTENT_LENGTH.length()));
            }
        }
        assertEquals(length, request.read(new char[length]));
    }

    private record OutcomeListener(CompletableFuture<String> outcome) implements DispatchListener {
        @Override
        public void tokenReceived(int _offset, String _text) {}

        @Override
        public void completed(String body) {
            outcome.complete("completed: " + body);
        }

        @Override
        public void notSent(String detail) {
            outcome.complete("not sent: " + detail);
        }

        @Override
        public void refused(String detail) {
            outcome.complete("refused: " + detail);
        }

        @Override
        public void failed(DispatchFault _fault, Failure _failure) {
            outcome.complete("failed");
        }
    }
}
