import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on 127.0.0.1 with a thread for each connection. */
abstract class Server {

    private static final int BACKLOG = 512;

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket listening;
    private final int port;

    Server(int port) throws IOException {
        listening = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
        this.port = listening.getLocalPort();
    }

    int port() {
        return port;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    void start() {
        Threads.start("accept-" + port, this::accept);
    }

    /** Ends the server as a crash does: no new connection is accepted, and open ones are reset. */
    void crash() throws IOException {
        listening.close();
        for (Socket socket : open) {
            reset(socket);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Threads.start("serve-" + port, () -> serveAndClose(socket));
            }
        } catch (IOException _closed) {
            // The server has ended.
        }
    }

    private void serveAndClose(Socket socket) {
        try (socket) {
            serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
        } catch (IOException _ended) {
            // The other side has closed or reset the connection.
        } finally {
            open.remove(socket);
        }
    }

    /** Serves one connection until its end. */
    abstract void serve(Socket socket, InputStream in, OutputStream out) throws IOException;

    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
