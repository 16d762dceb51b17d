package org.cowslippick.standin.application;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.entry.endpoint.Json;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** An application engine that responds after a fixed time and counts the executions of each request. */
public final class StandinApplication implements AutoCloseable {

    private final Duration serviceTime;
    private final TimerService timer;
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final RatpackServer server;

    /** Starts an application on a free loopback port. */
    public StandinApplication(Duration serviceTime, TimerService timer) {
        this.serviceTime = serviceTime;
        this.timer = timer;
        this.server = start();
    }

    /** The body of a response. */
    record CallResponse(String service, boolean done, Object call) {}

    /** Returns the address at which entries reach the application. */
    public HostAndPort address() {
        return HostAndPort.fromParts("127.0.0.1", server.getBindPort());
    }

    /** Returns the number of executions by request id. */
    public Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("stand-in application cannot stop", failure);
        }
    }

    private RatpackServer start() {
        try {
            return RatpackServer.start(
                    spec -> spec.serverConfig(config -> config.address(InetAddress.getLoopbackAddress())
                                    .port(0)
                                    .threads(1)
                                    .registerShutdownHook(false))
                            .handlers(chain -> chain.post("v1/calls", this::handleCall)));
        } catch (Exception failure) {
            throw new IllegalStateException("stand-in application cannot start", failure);
        }
    }

    private void handleCall(Context context) {
        String id = context.getRequest().getHeaders().get("X-Request-Id");
        String service = context.getRequest().getHeaders().get("X-Service");
        executions.merge(id, 1, Integer::sum);
        context.getRequest()
                .getBody()
                .flatMap(body -> Promise.<String>async(
                        downstream -> timer.schedule(serviceTime, () -> downstream.success(body.getText()))))
                .then(body -> {
                    context.getResponse().getHeaders().set("X-Request-Id", id);
                    Object call = Json.read(body).orElseThrow();
                    context.getResponse().send("application/json", Json.write(new CallResponse(service, true, call)));
                });
    }
}
