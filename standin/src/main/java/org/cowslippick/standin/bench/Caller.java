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

/** Sends requests, each on a connection of its own, so that a caller who leaves is seen to leave. */
// Netty tells of failed writes and closes by the channel.
@SuppressWarnings("FutureReturnValueIgnored")
final class Caller implements AutoCloseable {

    static final String GAVE_UP = "caller-gave-up";
    private static final int EVENT_LOOPS = 2;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 3000;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOPS);

    /** Where a call goes: to an entry, or straight to an engine. */
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

    /** Sends one request now; the latency counts from the intended time. */
    CompletableFuture<CallOutcome> send(HostAndPort address, Route route, TracedRequest request, long intendedNanos) {
        CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
        CallerHandler handler = new CallerHandler(request, intendedNanos, System.nanoTime(), outcome);
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
                connected.channel().writeAndFlush(message(address, route, request));
                leaveWhenImpatient(connected.channel(), handler, request, intendedNanos);
            } else {
                handler.fail(CallerHandler.CONNECTION_LOST);
            }
        });
        return outcome;
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static void leaveWhenImpatient(
            Channel channel, CallerHandler handler, TracedRequest request, long intendedNanos) {
        if (request.patienceNanos() < Long.MAX_VALUE) {
            long leftNanos = intendedNanos + request.patienceNanos() - System.nanoTime();
            channel.eventLoop().schedule(() -> leave(channel, handler), Math.max(0, leftNanos), TimeUnit.NANOSECONDS);
        }
    }

    private static void leave(Channel channel, CallerHandler handler) {
        if (channel.isActive() && !handler.firstTokenSeen()) {
            handler.fail(GAVE_UP);
            channel.close();
        }
    }

    private static FullHttpRequest message(HostAndPort address, Route route, TracedRequest request) {
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
