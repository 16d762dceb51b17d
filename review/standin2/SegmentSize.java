import java.io.FileDescriptor;
import java.lang.reflect.Method;
import java.net.Socket;
import java.net.SocketImpl;

/**
 * Sets the largest segment that a connection takes, before it connects. Over loopback a segment has 64 KB, and the sending
 * kernel buffers megabytes for one connection; with the segments of an Ethernet it buffers what it does over a real link.
 */
final class SegmentSize {

    static final int ETHERNET_BYTES = 1400;

    private static final int LEVEL_TCP = 6;
    private static final int OPTION_MAXIMUM_SEGMENT = 2;

    private SegmentSize() {}

    static void limit(Socket socket) throws ReflectiveOperationException {
        Method getImplementation = Socket.class.getDeclaredMethod("getImpl");
        getImplementation.setAccessible(true);
        Method getDescriptor = SocketImpl.class.getDeclaredMethod("getFileDescriptor");
        getDescriptor.setAccessible(true);
        Method setOption = Class.forName("sun.nio.ch.Net")
                .getDeclaredMethod(
                        "setIntOption0",
                        FileDescriptor.class,
                        boolean.class,
                        int.class,
                        int.class,
                        int.class,
                        boolean.class);
        setOption.setAccessible(true);
        Object descriptor = getDescriptor.invoke(getImplementation.invoke(socket));
        setOption.invoke(null, descriptor, false, LEVEL_TCP, OPTION_MAXIMUM_SEGMENT, ETHERNET_BYTES, false);
    }
}
