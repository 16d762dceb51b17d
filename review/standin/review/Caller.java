package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A requester's channel to one address of the system. */
final class Caller implements AutoCloseable {

    /**
     * What the requester saw.
     *
     * @param status 0 if no head of an answer arrived
     * @param complete whether the answer is complete by its own framing
     */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String failure) {

        boolean isSuccess() {
            return status / 100 == 2 && complete;
        }
    }

    private final Socket socket;
    private final BufferedInputStream input;

    Caller(InetSocketAddress address, int timeoutMs) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        socket.connect(address, 1000);
        input = new BufferedInputStream(socket.getInputStream());
    }

    OutputStream output() throws IOException {
        return socket.getOutputStream();
    }

    static byte[] head(String method, String path, String attemptId, long deadlineMs, int length, String more) {
        return Wire.ascii(method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + attemptId
                + "\r\nDeadline-Ms: " + deadlineMs + "\r\nCredential: " + Deployment.KEY + "\r\n" + more
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n");
    }

    void send(String method, String path, String attemptId, long deadlineMs, byte[] body, String more)
            throws IOException {
        output().write(head(method, path, attemptId, deadlineMs, body.length, more));
        output().write(body);
        output().flush();
    }

    Answer receive() {
        int status = 0;
        Map<String, String> headers = Map.of();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            Wire.Head head = Wire.readHead(input);
            if (head == null) {
                return new Answer(0, headers, new byte[0], false, "closed without an answer");
            }
            status = Integer.parseInt(head.line().split(" ")[1]);
            headers = head.headers();
            if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
                Wire.readChunked(input, body);
            } else if (head.header("Content-Length") != null) {
                body.writeBytes(Wire.readExactly(input, head.length()));
            } else {
                input.transferTo(body);
            }
            return new Answer(status, headers, body.toByteArray(), true, "");
        } catch (IOException failure) {
            return new Answer(status, headers, body.toByteArray(), false, String.valueOf(failure.getMessage()));
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Sends bookings at once, each on a channel of its own, to the machines in turn; returns how many were served. */
    static int callAtOnce(
            List<Deployment.Machine> machines, String path, String prefix, int count, Record record)
            throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        Map<Integer, Integer> statuses = new ConcurrentSkipListMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            Deployment.Machine machine = machines.get(number % machines.size());
            String id = prefix + "-" + number;
            threads.add(Engine.daemon(() -> {
                Answer answer = call(machine.front, "POST", path, id, 6000, new byte[100], "");
                record.add("requester: %s to %s: status %d %s", id, machine.name, answer.status(), answer.failure());
                statuses.merge(answer.status(), 1, Integer::sum);
                served.addAndGet(answer.isSuccess() ? 1 : 0);
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.say("%s: %d of %d requests served; statuses %s", prefix, served.get(), count, statuses);
        return served.get();
    }

    /** One request on a channel of its own. */
    static Answer call(
            InetSocketAddress address, String method, String path, String attemptId, int deadlineMs, byte[] body, String more) {
        try (Caller caller = new Caller(address, deadlineMs + 1000)) {
            caller.send(method, path, attemptId, deadlineMs, body, more);
            return caller.receive();
        } catch (IOException failure) {
            return new Answer(0, Map.of(), new byte[0], false, String.valueOf(failure.getMessage()));
        }
    }
}
