package org.cowslippick.relay;

import static com.google.common.util.concurrent.Uninterruptibles.awaitUninterruptibly;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Quota;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.routing.ServiceShare;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.caller.CallerConnections;
import org.cowslippick.relay.caller.CallerServer;
import org.cowslippick.relay.client.ClientMemory;
import org.cowslippick.relay.client.ConnectionLimit;
import org.cowslippick.relay.crash.CrashDetector;
import org.cowslippick.relay.endpoint.EndpointConnections;
import org.cowslippick.relay.forwarding.EngineLoadReader;
import org.cowslippick.relay.forwarding.ForwardingContext;
import org.cowslippick.relay.forwarding.RequestForwarder;
import org.cowslippick.relay.limit.QuotaTolerance;
import org.cowslippick.relay.limit.SharedQuotas;
import org.cowslippick.relay.limit.SharedRetryBudget;
import org.cowslippick.relay.message.HeaderNames;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.slot.SlotBroker;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.relay.stream.StreamVersions;
import org.cowslippick.relay.time.EventLoopTimerService;
import org.cowslippick.relay.time.LoopMonitor;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.cowslippick.scheduler.stream.StreamOrigin;

/** A relay on the loopback interface with one service, scripted engines as its endpoints, and routes of each kind. */
final class RelayHarness implements AutoCloseable {

    static final HeaderNames NAMES = new HeaderNames(
            "X-Attempt",
            "X-Remaining",
            "X-Key",
            "X-Organisation",
            "X-Expect",
            "X-Seal",
            "X-Not-Run",
            "X-Limit",
            "X-Leaving",
            "X-Load",
            "X-Tokens",
            "X-Parts",
            "X-Hint",
            "X-Last-Event",
            "X-Resumes",
            ImmutableSet.of("X-Organisation", "X-Expect", "X-Hold"));

    private static final long CLIENT_MEMORY_BYTES = 80L << 20;
    private static final int CLIENT_CONNECTIONS = 1_000;
    private static final ServiceName SERVICE = new ServiceName("model");
    private static final Region REGION = new Region("asturias");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", REGION);
    private static final OrganisationName ORGANISATION = new OrganisationName("portalia");
    private static final OrganisationName ORGANISATION_OF_MANY_CHARACTERS =
            new OrganisationName(" Peñamellera Baja, 梅\r\nX-Hold: 1\t");
    private static final long ENGINE_MEMORY_TOKENS = 465_349;
    private static final Duration PROMPT_REUSE_WINDOW = Duration.ofSeconds(10);
    private static final int KEPT_PER_ENDPOINT = 4;
    private static final int ITERATIONS_TO_CATCH_UP = 3;
    private static final int READ_TIMEOUT_MILLISECONDS = 4_000;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final CallerServer server;
    private final CallerConnections callers;
    private final RequestForwarder forwarder;
    private final HostAndPort address;
    private final LoopClock clock;
    private final RelayMetrics metrics = new RelayMetrics();
    private volatile CallerLimits limits = CallerLimits.DEFAULT;

    RelayHarness(ScriptedEngine... engines) throws IOException, InterruptedException {
        this(
                Arrays.stream(engines).map(ScriptedEngine::address).toArray(HostAndPort[]::new),
                index -> engines[index].softwareVersion());
    }

    RelayHarness(HostAndPort... engines) throws IOException, InterruptedException {
        this(engines, _index -> "");
    }

    private RelayHarness(HostAndPort[] engines, IntFunction<String> softwareVersions)
            throws IOException, InterruptedException {
        SingleThreadEventLoop loop = (SingleThreadEventLoop) loops.next();
        TimerService timer = new EventLoopTimerService(loop);
        this.clock = new LoopClock(timer);
        LoopMonitor monitor = new LoopMonitor(loop, clock);
        LocalSlotQueues localQueues = new LocalSlotQueues(timer);
        localQueues.setMemory(_service -> ENGINE_MEMORY_TOKENS);
        localQueues.setPromptReuseWindow(PROMPT_REUSE_WINDOW);
        EndpointConnections connections = new EndpointConnections(
                loops, timer, monitor, NAMES.attemptId(), REGION, _service -> KEPT_PER_ENDPOINT, metrics::count);
        this.forwarder = new RequestForwarder(new ForwardingContext(
                timer,
                monitor,
                NAMES,
                RelayHarness::table,
                new SinglePoolBroker(localQueues),
                connections,
                new CrashDetector(new InstanceName("front-1"), new Incarnation(1), timer, connections::probe),
                new SharedQuotas(timer, new QuotaTolerance(Duration.ofSeconds(8), 0.1, 0)),
                new SharedRetryBudget(0.2, 50),
                metrics,
                new EngineLoadReader(NAMES),
                new SingleInstanceStreams(IntStream.range(0, engines.length)
                        .mapToObj(softwareVersions)
                        .collect(ImmutableSet.toImmutableSet()))));
        this.callers = new CallerConnections(
                () -> limits,
                timer,
                monitor,
                new RequestReader(NAMES),
                forwarder,
                new ClientMemory(CLIENT_MEMORY_BYTES, timer, new RelayMetrics()),
                new ConnectionLimit(CLIENT_CONNECTIONS, timer, new RelayMetrics()));
        this.address = HostAndPort.fromParts("127.0.0.1", freePort());
        this.server = CallerServer.listen(address, loops, callers);
        server.bindFuture().sync();
        ImmutableList.Builder<LiveEndpoint> endpoints = ImmutableList.builder();
        for (int index = 0; index < engines.length; index++) {
            endpoints.add(new LiveEndpoint(
                    "engine-" + index, SERVICE, engines[index], DOMAIN, 4, false, 1, 0, softwareVersions.apply(index)));
        }
        loops.next()
                .submit(() -> localQueues.replaceEndpoints(endpoints.build()))
                .sync();
    }

    /** Puts other limits of callers in force, as a new version of the configuration does. */
    void setLimits(CallerLimits changed) {
        limits = changed;
    }

    /** Sends a request on a new connection, and returns all bytes until the relay closes or the read times out. */
    String call(String method, String path, String headers, String body) throws IOException {
        try (Socket socket = open()) {
            send(socket, method, path, headers, body);
            return readAll(socket);
        }
    }

    Socket open() throws IOException {
        Socket socket = new Socket(address.getHost(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        return socket;
    }

    Socket openUnchecked() {
        try {
            return open();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Stops the event loop until the returned task is run; its monitor then sees the given duration. */
    Runnable holdLoop(Duration seen) {
        CountDownLatch held = new CountDownLatch(1);
        loops.next().execute(() -> {
            awaitUninterruptibly(held);
            clock.standStill(seen);
        });
        return held::countDown;
    }

    /** Waits until the relay has read what arrived while its loop stood still. */
    void awaitCaughtUp() throws InterruptedException {
        for (int iteration = 0; iteration < ITERATIONS_TO_CATCH_UP; iteration++) {
            loops.next().schedule(() -> {}, 100, TimeUnit.MILLISECONDS).sync();
        }
    }

    String metrics() throws ExecutionException, InterruptedException {
        return loops.next().submit(metrics::text).get();
    }

    /** Sends a request with another credential than {@link #call} does. */
    String callWithKey(String key, String method, String path, String body) throws IOException {
        try (Socket socket = open()) {
            send(socket, key, method, path, "", body);
            return readAll(socket);
        }
    }

    static void send(Socket socket, String method, String path, String headers, String body) throws IOException {
        send(socket, "key", method, path, headers, body);
    }

    private static void send(Socket socket, String key, String method, String path, String headers, String body)
            throws IOException {
        String request = method + " " + path + " HTTP/1.1\r\nHost: example.org\r\nX-Key: " + key + "\r\n"
                + (headers.contains("X-Attempt: ") ? "" : "X-Attempt: a1\r\n")
                + (headers.contains("Connection: ") ? "" : "Connection: close\r\n") + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[4096];
        try {
            for (int read = socket.getInputStream().read(buffer);
                    read >= 0;
                    read = socket.getInputStream().read(buffer)) {
                bytes.write(buffer, 0, read);
            }
        } catch (SocketTimeoutException _timeout) {
            bytes.writeBytes("<silent>".getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException _reset) {
            bytes.writeBytes("<reset>".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    void drain() throws InterruptedException {
        loops.next().submit(callers::drain).sync();
    }

    void stopAdmitting() throws InterruptedException {
        loops.next().submit(() -> forwarder.admitUntil(System.nanoTime())).sync();
    }

    void closeIdle() throws InterruptedException {
        loops.next().submit(callers::closeIdle).sync();
    }

    void refuseWaiting() throws InterruptedException {
        loops.next().submit(callers::refuseWaiting).sync();
    }

    void terminate() throws InterruptedException {
        loops.next().submit(callers::terminate).sync();
    }

    long busyCount() throws ExecutionException, InterruptedException {
        return loops.next().submit(callers::busyCount).get();
    }

    @Override
    public void close() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static RoutingTable table() {
        return new RoutingTable(
                7,
                ImmutableList.of(
                        route("book", RouteKind.AT_MOST_ONCE, 2, false),
                        route("look", RouteKind.IDEMPOTENT, 2, false),
                        route("read", RouteKind.IDEMPOTENT, 1, false),
                        route("chat", RouteKind.EVENT_STREAM, 2, true),
                        route("report", RouteKind.EVENT_STREAM, 1, false)),
                ImmutableList.of(),
                CallerLimits.DEFAULT,
                ImmutableMap.of("key", ORGANISATION, "other-key", ORGANISATION_OF_MANY_CHARACTERS),
                Stream.of(ORGANISATION, ORGANISATION_OF_MANY_CHARACTERS)
                        .collect(ImmutableMap.toImmutableMap(
                                name -> name,
                                name -> new OrganisationAccess(name, Optional.empty(), Quota.UNLIMITED))));
    }

    private static Route route(String name, RouteKind kind, int endpoints, boolean resumable) {
        return new Route(
                name,
                "example.org",
                "/" + name + "/",
                kind,
                ImmutableList.of(new ServiceShare(SERVICE, 1)),
                Duration.ofMillis(1_500),
                Duration.ofMillis(400),
                Duration.ofMillis(300),
                1,
                endpoints,
                false,
                resumable);
    }

    /** Knows the streams that this instance has begun, and all of them if there is one version. */
    private static final class SingleInstanceStreams implements StreamVersions {
        private final ImmutableSet<String> versions;
        private final Map<Long, String> origins = new HashMap<>();

        SingleInstanceStreams(ImmutableSet<String> versions) {
            this.versions = versions;
        }

        @Override
        public void recordOrigin(StreamOrigin origin) {
            origins.put(origin.stream(), origin.softwareVersion());
        }

        @Override
        public void find(ServiceName _service, long stream, Consumer<Optional<String>> onFound) {
            onFound.accept(Optional.ofNullable(origins.get(stream)).or(() -> versions.stream()
                    .filter(_version -> versions.size() == 1)
                    .findFirst()));
        }
    }

    /** A broker for a single pool in the queues of this instance. */
    private static final class SinglePoolBroker implements SlotBroker {
        private static final InstanceName INSTANCE = new InstanceName("front-1");
        private static final SlotPool POOL = new SlotPool(SERVICE, REGION);

        private final LocalSlotQueues localQueues;
        private long lastNumber;

        SinglePoolBroker(LocalSlotQueues localQueues) {
            this.localQueues = localQueues;
        }

        @Override
        public SlotKey nextKey() {
            lastNumber++;
            return new SlotKey(INSTANCE, lastNumber);
        }

        @Override
        public void request(ServiceName _service, SlotRequest request, SlotListener listener) {
            localQueues.request(POOL, request, listener);
        }

        @Override
        public void withdraw(SlotKey key) {
            localQueues.withdraw(POOL, key);
        }

        @Override
        public void responseStarted(SlotKey key) {
            localQueues.responseStarted(POOL, key);
        }

        @Override
        public void reportMachineLoad(SlotKey key, double percent) {
            localQueues.recordMachineLoad(POOL, key, percent, System.nanoTime());
        }

        @Override
        public void reportRateLimit(LiveEndpoint endpoint, Optional<Double> requestsPerSecond) {
            localQueues.recordRateLimit(
                    POOL, endpoint.id(), new EndpointRateLimit(requestsPerSecond, System.nanoTime()));
        }

        @Override
        public void reportNotice(LiveEndpoint endpoint, EndpointNotice notice) {
            localQueues.recordNotice(endpoint, INSTANCE, notice);
        }

        @Override
        public boolean isBlocked(LiveEndpoint endpoint) {
            return localQueues.obstacle(endpoint, INSTANCE).isPresent();
        }

        @Override
        public void release(SlotKey key, AnswerOutcome outcome) {
            localQueues.release(POOL, key, outcome);
        }
    }
}
