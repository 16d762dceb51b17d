package org.cowslippick.relay;

import com.google.common.net.HostAndPort;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine that answers each request with the next scripted response, and records the requests. */
final class ScriptedEngine implements AutoCloseable {

    /** At the end of a response: close the connection, which otherwise stays open. */
    static final String CLOSE = "<close>";

    /** At the end of a response: reset the connection. */
    static final String RESET = "<reset>";

    /** At the end of a response: end the output in order, and keep the connection open without reading. */
    static final String END = "<end>";

    /** Separates a response from bytes that follow it repeatedly until the relay closes the connection. */
    static final String ENDLESS = "<endless>";

    /** Separates a response from bytes that are written some time after it. */
    static final String LATER = "<later>";

    private static final long LATER_DELAY_MILLISECONDS = 50;

    /** Gives the relay time to read the response, as a reset discards unread bytes. */
    private static final long RESET_DELAY_MILLISECONDS = 50;

    /** Gives the relay time to take the end of the output for the end of the response, before unread bytes cause a reset. */
    private static final long END_DELAY_MILLISECONDS = 200;

    /** The time to process a prompt before the answer begins. */
    private static final long CRASH_DELAY_MILLISECONDS = 350;

    /** Far more than the relay may read of one response. */
    private static final int MAXIMUM_ENDLESS_BYTES = 256 << 20;

    private static final int ENDLESS_BLOCK_BYTES = 1 << 14;

    /** Keeps most of a long request body in the buffers of the relay while the engine does not read. */
    private static final int RECEIVE_BUFFER_BYTES = 1 << 16;

    private final ServerSocket serverSocket;
    private final LinkedBlockingQueue<String> responses = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> continuations = new LinkedBlockingQueue<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger closedByRelay = new AtomicInteger();
    private final AtomicInteger endlessBytes = new AtomicInteger();
    private final AtomicInteger lateWrites = new AtomicInteger();

    private volatile String softwareVersion = "";
    private volatile String crashText = "";
    private volatile boolean repeatsResponses;
    private volatile boolean readsNothing;
    private volatile int maximumBodyBytesRead = Integer.MAX_VALUE;

    ScriptedEngine(String... script) throws IOException {
        this.serverSocket = new ServerSocket();
        serverSocket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        serverSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        responses.addAll(List.of(script));
        Thread thread = new Thread(this::accept, "engine");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets the software version that the engine is registered with; to be called before the relay starts. */
    ScriptedEngine withSoftwareVersion(String version) {
        softwareVersion = version;
        return this;
    }

    String softwareVersion() {
        return softwareVersion;
    }

    /** Adds a response to requests that resume a stream. */
    ScriptedEngine withContinuation(String script) {
        continuations.add(script);
        return this;
    }

    /** Makes the engine crash when it begins to answer a request whose head contains the text. */
    ScriptedEngine withCrashOn(String text) {
        crashText = text;
        return this;
    }

    /** Makes the engine write the earlier responses of a connection once more before the next one. */
    ScriptedEngine withRepeatedResponses() {
        repeatsResponses = true;
        return this;
    }

    /** Makes the engine respond to the head of a request, and leave the body unread. */
    ScriptedEngine withResponsesBeforeBody() {
        maximumBodyBytesRead = 0;
        return this;
    }

    /** Makes the engine respond after so many bytes of the body of a request, and leave the others unread. */
    ScriptedEngine withResponsesAfterBodyBytes(int count) {
        maximumBodyBytesRead = count;
        return this;
    }

    /** Makes the engine accept connections, and hang. */
    ScriptedEngine withoutReading() {
        readsNothing = true;
        return this;
    }

    HostAndPort address() {
        return HostAndPort.fromParts("127.0.0.1", serverSocket.getLocalPort());
    }

    /** Heads and bodies of the requests, in order of arrival. */
    List<String> requests() {
        return requests;
    }

    /** Bytes written after {@link #ENDLESS}, including those that the relay has not read. */
    int endlessBytes() {
        return endlessBytes.get();
    }

    /** How often bytes after {@link #LATER} have been written. */
    int lateWrites() {
        return lateWrites.get();
    }

    int connections() {
        return sockets.size();
    }

    int closedByRelay() {
        return closedByRelay.get();
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
                if (readsNothing) {
                    continue;
                }
                Thread thread = new Thread(() -> serve(socket), "engine-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException _closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            StringBuilder earlier = new StringBuilder();
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String head = readRequest(reader); !head.isEmpty(); head = readRequest(reader)) {
                requests.add(head);
                if (!respond(socket, head, earlier)) {
                    return;
                }
            }
            closedByRelay.incrementAndGet();
        } catch (IOException _reset) {
            closedByRelay.incrementAndGet();
        }
    }

    private boolean respond(Socket socket, String head, StringBuilder earlier) throws IOException {
        if (!crashText.isEmpty() && head.contains(crashText)) {
            crash();
            return false;
        }
        String script = header(head, "X-Last-Event").isEmpty() ? responses.poll() : continuations.poll();
        if (script == null) {
            return true;
        }
        if (script.contains(ENDLESS)) {
            respondEndlessly(socket, script.replace("{id}", header(head, "X-Attempt")));
            return false;
        }
        boolean closes = script.endsWith(CLOSE);
        boolean resets = script.endsWith(RESET);
        String text = script.replace(CLOSE, "")
                .replace(RESET, "")
                .replace(END, "")
                .replace("{id}", header(head, "X-Attempt"));
        write(socket, earlier + text);
        if (repeatsResponses) {
            earlier.append(text);
        }
        if (script.endsWith(END)) {
            socket.shutdownOutput();
            delay(END_DELAY_MILLISECONDS);
        }
        if (resets) {
            delay(RESET_DELAY_MILLISECONDS);
            socket.setSoLinger(true, 0);
        }
        return !closes && !resets && !script.endsWith(END);
    }

    private void write(Socket socket, String text) throws IOException {
        int separator = text.indexOf(LATER);
        String first = separator < 0 ? text : text.substring(0, separator);
        socket.getOutputStream().write(first.getBytes(StandardCharsets.ISO_8859_1));
        if (separator >= 0) {
            delay(LATER_DELAY_MILLISECONDS);
            String late = text.substring(separator + LATER.length());
            socket.getOutputStream().write(late.getBytes(StandardCharsets.ISO_8859_1));
            lateWrites.incrementAndGet();
        }
    }

    private void crash() throws IOException {
        delay(CRASH_DELAY_MILLISECONDS);
        serverSocket.close();
        for (Socket open : sockets) {
            open.close();
        }
    }

    private void respondEndlessly(Socket socket, String script) throws IOException {
        int separator = script.indexOf(ENDLESS);
        socket.getOutputStream().write(script.substring(0, separator).getBytes(StandardCharsets.ISO_8859_1));
        String repeated = script.substring(separator + ENDLESS.length());
        byte[] block = repeated.repeat(ENDLESS_BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
        for (int written = 0; written < MAXIMUM_ENDLESS_BYTES; written += block.length) {
            socket.getOutputStream().write(block);
            endlessBytes.addAndGet(block.length);
        }
    }

    private static void delay(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            throw new UncheckedIOException(new IOException(interrupted));
        }
    }

    private String readRequest(BufferedReader reader) throws IOException {
        StringBuilder head = new StringBuilder();
        int length = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                for (int index = 0; index < Math.min(length, maximumBodyBytesRead); index++) {
                    head.append((char) reader.read());
                }
                return head.toString();
            }
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
            head.append(line).append('\n');
        }
        return "";
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }
}
