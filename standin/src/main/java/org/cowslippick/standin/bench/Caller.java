package org.cowslippick.standin.bench;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sends each request on a connection of its own, so that an entry notices when the caller disconnects. */
// Netty reports failed writes and closes through channel events.
@SuppressWarnings("FutureReturnValueIgnored")
final class Caller implements AutoCloseable {

    static final String GAVE_UP = "caller-gave-up";
    private static final int EVENT_LOOPS = 2;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 3000;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOPS);

    /** The target of a call: an entry, or an engine directly. */
    enum Route {
        ENTRY("/v1/services/" + BenchSettings.SERVICE + "/requests") {
            @Override
            String body(TracedRequest request) {
                return "{\"prompt\":\"" + Prompts.text(request) + "\",\"maximumAnswerTokens\":" + request.answerTokens()
                        + ",\"stream\":true}";
            }
        },
        ENGINE("/v1/chat/completions") {
            @Override
            String body(TracedRequest request) {
                return "{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"" + Prompts.text(request)
                        + "\"}],\"max_tokens\":" + request.answerTokens() + ",\"stream\":true}";
            }
        };

        private final String path;

        Route(String path) {
            this.path = path;
        }

        abstract String body(TracedRequest request);
    }

    /** Sends a request immediately; its latency counts from the intended time. */
    CompletableFuture<CallOutcome> send(HostAndPort address, Route route, TracedRequest request, long intendedNanos) {
        CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
        TokenStreamHandler handler = new TokenStreamHandler(request, intendedNanos, System.nanoTime(), outcome);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), handler);
                    }
                });
        ChannelFuture connected = bootstrap.connect(address.getHost(), address.getPort());
        connected.addListener(_done -> {
            if (connected.isSuccess()) {
                connected.channel().writeAndFlush(createMessage(address, route, request));
                scheduleTimeout(connected.channel(), handler, request, intendedNanos);
            } else {
                handler.fail(TokenStreamHandler.CONNECTION_LOST);
            }
        });
        return outcome;
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static void scheduleTimeout(
            Channel channel, TokenStreamHandler handler, TracedRequest request, long intendedNanos) {
        if (request.firstTokenTimeoutNanos() < Long.MAX_VALUE) {
            long remainingNanos = intendedNanos + request.firstTokenTimeoutNanos() - System.nanoTime();
            channel.eventLoop()
                    .schedule(
                            () -> disconnectIfNoToken(channel, handler),
                            Math.max(0, remainingNanos),
                            TimeUnit.NANOSECONDS);
        }
    }

    private static void disconnectIfNoToken(Channel channel, TokenStreamHandler handler) {
        if (channel.isActive() && !handler.hasFirstToken()) {
            handler.fail(GAVE_UP);
            channel.close();
        }
    }

    private static FullHttpRequest createMessage(HostAndPort address, Route route, TracedRequest request) {
        byte[] body = route.body(request).getBytes(StandardCharsets.UTF_8);
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, route.path, Unpooled.wrappedBuffer(body));
        message.headers()
                .set(HttpHeaderNames.HOST, address.toString())
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + BenchSettings.credential(request.organisation()))
                .set("X-Tier", request.tier().text())
                .set("X-Request-Id", UUID.randomUUID().toString());
        return message;
    }
}
