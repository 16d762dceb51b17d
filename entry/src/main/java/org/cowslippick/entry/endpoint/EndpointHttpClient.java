package org.cowslippick.entry.endpoint;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.fleet.http.StrictResponseDecoder;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.util.internal.TransportDetector;

/** The HTTP client shared by all endpoint clients. Each dispatch uses a new connection, so that none is stale. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class EndpointHttpClient implements AutoCloseable {

    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String NOT_STARTED_HEADER = "X-Not-Started";
    static final String SERVICE_HEADER = "X-Service";

    /** How long a connection may be silent before a new connection is tried. */
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);

    private static final int REFUSED_STATUS = 503;
    private static final int MAXIMUM_STATUS_LINE_BYTES = 4096;
    private static final int MAXIMUM_HEADER_BYTES = 8192;
    private static final int MAXIMUM_CHUNK_BYTES = 8192;
    private static final String LOAD_PATH = "/v1/load";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;

    private final ExecController controller;
    private final HttpClient client;

    /** Creates a client that runs on the event loops of the controller. */
    public EndpointHttpClient(ExecController controller) {
        this.controller = controller;
        this.client = create(controller);
    }

    ExecController controller() {
        return controller;
    }

    HttpClient client() {
        return client;
    }

    /** A request that carries the request's ID and a JSON body. */
    static FullHttpRequest post(String path, RequestId request, String body) {
        FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        httpRequest
                .headers()
                .set(REQUEST_ID_HEADER, request.value())
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return httpRequest;
    }

    /** Sends a request on a connection of its own; fails unless the whole response arrives. */
    CompletableFuture<EngineResponse> exchange(Endpoint endpoint, FullHttpRequest request) {
        EngineResponseCollector collector = new EngineResponseCollector();
        connect(endpoint, request, collector, READ_TIMEOUT, new HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES));
        return collector.result();
    }

    /** Sends a request on a connection of its own, which fails when it is silent; closing the channel cancels it. */
    Channel stream(Endpoint endpoint, FullHttpRequest request, EngineResponseListener listener) {
        return connect(endpoint, request, listener, SILENCE_TIMEOUT);
    }

    private Channel connect(
            Endpoint endpoint,
            FullHttpRequest request,
            EngineResponseListener listener,
            Duration readTimeout,
            ChannelHandler... bodyHandlers) {
        HostAndPort address = endpoint.address();
        request.headers()
                .set(HttpHeaderNames.HOST, address)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        ChannelFuture connecting = new Bootstrap()
                .group(controller.getEventLoopGroup())
                .channel(TransportDetector.getSocketChannelImpl())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new StrictResponseDecoder(
                                        MAXIMUM_STATUS_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES))
                                .addLast(new HttpRequestEncoder())
                                .addLast(new ReadTimeoutHandler(readTimeout.toNanos(), TimeUnit.NANOSECONDS))
                                .addLast(bodyHandlers)
                                .addLast(new EngineConnection(request, listener));
                    }
                })
                .connect(address.getHost(), address.getPort());
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                listener.failed(connected.cause());
            }
        });
        return connecting.channel();
    }

    /** Requests the endpoint's load on a new connection and reports whether a connection could be made. */
    void probe(Endpoint endpoint, Consumer<Boolean> result) {
        controller
                .fork()
                .onError(cause -> result.accept(!isConnectFailure(cause)))
                .start(_execution -> client.request(uri(endpoint, LOAD_PATH), spec -> spec.readTimeout(SILENCE_TIMEOUT))
                        .then(_response -> result.accept(true)));
    }

    @Override
    public void close() {
        client.close();
    }

    static URI uri(Endpoint endpoint, String path) {
        return URI.create("http://" + endpoint.address() + path);
    }

    /** Whether the response says that the request was not started; this holds only if the response is whole. */
    static boolean isRefusal(int status, HttpHeaders headers) {
        return status == REFUSED_STATUS && headers.contains(NOT_STARTED_HEADER);
    }

    /** Whether the failure shows that no connection was made, in which case nothing was sent. */
    static boolean isConnectFailure(Throwable failure) {
        return Stream.iterate(failure, cause -> cause != null, Throwable::getCause)
                .anyMatch(cause -> cause instanceof ConnectException || cause instanceof ConnectTimeoutException);
    }

    private static HttpClient create(ExecController controller) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(READ_TIMEOUT)
                    .maxContentLength(MAXIMUM_RESPONSE_BYTES));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot create the HTTP client for endpoints", failure);
        }
    }
}
