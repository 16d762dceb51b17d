package org.cowslippick.standin.platform;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.URI;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.InMemoryObjectStore;
import org.cowslippick.fleet.platform.ListedInstance;
import org.cowslippick.fleet.platform.PlatformFault;
import ratpack.server.RatpackServer;

/** An in-memory platform that serves the HTTP interface of docs/INTERFACES.md on a loopback port. */
public final class StandinPlatform implements AutoCloseable {

    private static final int HISTORY_LENGTH = 1000;
    private static final int MAXIMUM_BODY_BYTES = 8 << 20;
    private static final int THREADS = 2;

    private final InMemoryObjectStore objectStore = new InMemoryObjectStore(HISTORY_LENGTH);
    private final FaultInjector faultInjector =
            new FaultInjector(() -> objectStore.endWatches(PlatformFault.UNAVAILABLE), objectStore::discardHistory);
    private final DelayedInstanceList instances;
    private final RatpackServer server;

    private StandinPlatform(TimerService timer) throws Exception {
        this.instances = new DelayedInstanceList(timer);
        this.server = RatpackServer.start(definition -> definition
                .serverConfig(config -> config.port(0)
                        .address(InetAddress.getLoopbackAddress())
                        .threads(THREADS)
                        .development(false)
                        .registerShutdownHook(false)
                        .maxContentLength(MAXIMUM_BODY_BYTES))
                .handlers(new PlatformHandlers(objectStore, instances, faultInjector, timer)));
    }

    /** Starts a platform on an ephemeral port. */
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

    /** Returns the base address for a client. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + port());
    }

    public FaultInjector faultInjector() {
        return faultInjector;
    }

    /** The store of the platform, which tests access without injected faults. */
    public InMemoryObjectStore objectStore() {
        return objectStore;
    }

    /** Sets the list of instances, which becomes visible after the injected delay. */
    public void setInstances(ImmutableList<ListedInstance> listedInstances) {
        instances.set(listedInstances, faultInjector.instanceListDelay());
    }

    @Override
    public void close() {
        try {
            objectStore.endWatches(PlatformFault.UNAVAILABLE);
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the stand-in platform cannot stop: " + failure.getMessage(), failure);
        }
    }
}
