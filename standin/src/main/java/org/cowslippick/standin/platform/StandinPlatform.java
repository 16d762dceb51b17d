package org.cowslippick.standin.platform;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.URI;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.InMemoryObjectStore;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.platform.PlatformFault;
import ratpack.server.RatpackServer;

/** A platform in memory that serves the HTTP dialect of docs/INTERFACES.md on a loopback port. */
public final class StandinPlatform implements AutoCloseable {

    private static final int HISTORY_LENGTH = 1000;
    private static final int MAXIMUM_BODY_BYTES = 8 << 20;
    private static final int THREADS = 2;

    private final InMemoryObjectStore memory = new InMemoryObjectStore(HISTORY_LENGTH);
    private final PlatformSwitches switches =
            new PlatformSwitches(() -> memory.endWatches(PlatformFault.UNAVAILABLE), memory::discardHistory);
    private final LaggingInstances instances;
    private final RatpackServer server;

    private StandinPlatform(TimerService timer) throws Exception {
        this.instances = new LaggingInstances(timer);
        this.server = RatpackServer.start(definition -> definition
                .serverConfig(config -> config.port(0)
                        .address(InetAddress.getLoopbackAddress())
                        .threads(THREADS)
                        .development(false)
                        .registerShutdownHook(false)
                        .maxContentLength(MAXIMUM_BODY_BYTES))
                .handlers(new PlatformHandlers(memory, instances, switches, timer)));
    }

    /** Starts a platform on a port that the operating system chooses. */
    public static StandinPlatform start(TimerService timer) {
        try {
            return new StandinPlatform(timer);
        } catch (Exception failure) {
            throw new IllegalStateException("the stand-in platform cannot start: " + failure.getMessage(), failure);
        }
    }

    public int port() {
        return server.getBindPort();
    }

    /** The base address for a client. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + port());
    }

    public PlatformSwitches switches() {
        return switches;
    }

    /** The objects themselves, for a test to read past all faults. */
    public InMemoryObjectStore memory() {
        return memory;
    }

    /** Sets the list of instances, which shows after the lag that is switched on. */
    public void listInstances(ImmutableList<ListedInstance> listed) {
        instances.set(listed, switches.listLag());
    }

    @Override
    public void close() {
        try {
            memory.endWatches(PlatformFault.UNAVAILABLE);
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the stand-in platform cannot stop: " + failure.getMessage(), failure);
        }
    }
}
