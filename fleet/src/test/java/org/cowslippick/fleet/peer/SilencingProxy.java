package org.cowslippick.fleet.peer;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A TCP proxy to one port that can stop forwarding on open connections without closing them; later connections work.
 */
final class SilencingProxy implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final int target;
    private final AtomicReference<AtomicBoolean> flagOfNewConnections = new AtomicReference<>(new AtomicBoolean());

    SilencingProxy(int target) throws IOException {
        this.target = target;
        start(this::accept);
    }

    HostAndPort address() {
        return HostAndPort.fromParts("127.0.0.1", server.getLocalPort());
    }

    void silenceOpenConnections() {
        flagOfNewConnections.getAndSet(new AtomicBoolean()).set(true);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket from = server.accept();
            Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
            AtomicBoolean isSilenced = flagOfNewConnections.get();
            start(() -> forward(from, to, isSilenced));
            start(() -> forward(to, from, isSilenced));
        }
    }

    private static void forward(Socket from, Socket to, AtomicBoolean isSilenced) throws IOException {
        byte[] buffer = new byte[4096];
        for (int count = from.getInputStream().read(buffer);
                count >= 0;
                count = from.getInputStream().read(buffer)) {
            if (!isSilenced.get()) {
                to.getOutputStream().write(buffer, 0, count);
            }
        }
        to.close();
    }

    private static void start(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException closed) {
                        Thread.currentThread().interrupt();
                    }
                },
                "silencing-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private interface Task {
        void run() throws IOException;
    }
}
