package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of an engine: one thread for each channel, a behaviour for each request. */
final class Engine {

    /** Reads the body of a request and answers it; returns whether the channel is kept. */
    interface Behaviour {
        boolean serve(Engine engine, Request request) throws IOException, InterruptedException;
    }

    record Request(Wire.Head head, BufferedInputStream input, OutputStream output, Socket socket) {

        String id() {
            return head.headers().getOrDefault("Attempt-Id", "");
        }

        byte[] readBody() throws IOException {
            return Wire.readExactly(input, head.length());
        }

        /** Reads the body without keeping it. */
        void skipBody() throws IOException {
            for (long left = head.length(); left > 0; ) {
                long skipped = input.skip(left);
                if (skipped == 0 && input.read() < 0) {
                    throw new EOFException("the body ends after " + (head.length() - left) + " of " + head.length() + " bytes");
                }
                left -= Math.max(1, skipped);
            }
        }

        void answer(int status, String headers, byte[] body) throws IOException {
            output.write(Wire.ascii("HTTP/1.1 " + status + " Answer\r\nAttempt-Id: " + id() + "\r\n" + headers
                    + "Content-Length: " + body.length + "\r\n\r\n"));
            output.write(body);
            output.flush();
        }

        void startEvents() throws IOException {
            output.write(Wire.ascii("HTTP/1.1 200 OK\r\nAttempt-Id: " + id()
                    + "\r\nEngine-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        }

        void event(int number) throws IOException {
            byte[] event = Wire.ascii("id: " + number + "\ndata: piece-" + number + "\n\n");
            output.write(Wire.ascii(Integer.toHexString(event.length) + "\r\n"));
            output.write(event);
            output.write(Wire.ascii("\r\n"));
            output.flush();
        }

        void endEvents() throws IOException {
            output.write(Wire.ascii("0\r\n\r\n"));
            output.flush();
        }

        /** Resets the channel, as the end of an engine's process does. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final String id;
    private final Behaviour behaviour;
    private final Record record;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    private long born = 1764900000000L;

    Engine(String id, int receiveBufferBytes, Behaviour behaviour, Record record) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.record = record;
        listen(receiveBufferBytes, 0);
    }

    private void listen(int receiveBufferBytes, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        server = socket;
        daemon(() -> accept(socket));
    }

    /** Resets all channels and takes no new ones, as the end of an engine's process does. */
    void crash() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Starts again at the same address. */
    void restart() throws IOException {
        born += 10_000;
        listen(0, server.getLocalPort());
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    String entry(String service, String zone, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + born + "}";
    }

    void stop() throws IOException {
        server.close();
    }

    private void accept(ServerSocket listening) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException _closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            boolean kept = true;
            while (kept) {
                Wire.Head head = Wire.readHead(input);
                if (head == null) {
                    return;
                }
                Request request = new Request(head, input, output, socket);
                String expected = head.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    request.readBody();
                    record.add("engine %s: 421 to %s, which expects %s", id, request.id(), expected);
                    request.answer(421, "Instance-Id: " + id + "\r\n", new byte[0]);
                } else {
                    kept = behaviour.serve(this, request);
                }
            }
        } catch (IOException failure) {
            record.add("engine %s: channel ended: %s", id, failure.getMessage());
        } catch (InterruptedException _interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
