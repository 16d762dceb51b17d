package org.cowslippick.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.entry.endpoint.EndpointCall.ModelCall;

/**
 * The streamed answer of a model engine. If the connection is lost or silent, a new one resumes the answer at the next
 * offset, so that the request does not run again. The behaviour of the new connection decides which fault is reported.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ModelStream implements Dispatch {

    private static final String DONE = "[DONE]";
    private static final int MAXIMUM_UNANSWERED_RESUMES = 2;

    private final EndpointHttpClient http;
    private final Endpoint endpoint;
    private final RequestId request;
    private final OneShotDispatchListener listener;
    private final AtomicReference<Channel> channel = new AtomicReference<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger unansweredResumes = new AtomicInteger();
    private volatile int nextOffset;

    ModelStream(EndpointHttpClient http, Endpoint endpoint, RequestId request, DispatchListener listener) {
        this.http = http;
        this.endpoint = endpoint;
        this.request = request;
        this.listener = new OneShotDispatchListener(listener);
    }

    void start(ModelCall call) {
        String body = "{\"model\":" + Json.write(call.model()) + ",\"messages\":" + call.messages() + ",\"max_tokens\":"
                + call.maximumAnswerTokens() + ",\"stream\":true}";
        open(EndpointHttpClient.post("/v1/chat/completions", request, body));
    }

    @Override
    public void cancel() {
        if (listener.terminate()) {
            Optional.ofNullable(channel.get()).ifPresent(Channel::close);
            cancelAtEndpoint();
        }
    }

    private void resume() {
        open(new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/v1/requests/" + request + "/stream?offset=" + nextOffset));
    }

    private void open(FullHttpRequest httpRequest) {
        Channel opened = http.stream(endpoint, httpRequest, new TokenReader(connections.incrementAndGet()));
        channel.set(opened);
        if (listener.hasTerminated()) {
            opened.close();
        }
    }

    /** Resumes or fails the answer after its connection ends, unless it is complete or a newer connection is in use. */
    private void connectionEnded(int connection, Throwable cause) {
        if (listener.hasTerminated() || connection != connections.get()) {
            return;
        }
        boolean isFirst = connection == 1;
        if (EndpointHttpClient.isConnectFailure(cause)) {
            connectFailed(isFirst, cause);
        } else if (unansweredResumes.incrementAndGet() <= MAXIMUM_UNANSWERED_RESUMES) {
            resume();
        } else if (cause instanceof ReadTimeoutException) {
            listener.failed(
                    DispatchFault.SILENT,
                    Failure.of(
                            ErrorKind.ENDPOINT_SILENT,
                            "endpoint " + endpoint.name() + " sent nothing within "
                                    + EndpointHttpClient.SILENCE_TIMEOUT.toSeconds() + " s"));
        } else {
            listener.failed(DispatchFault.FAILED, endpointFailure("broke off its stream: " + cause.getMessage()));
        }
    }

    private void connectFailed(boolean isFirst, Throwable cause) {
        String detail = "endpoint " + endpoint.name() + " does not accept connections: " + cause.getMessage();
        if (isFirst) {
            listener.notSent(detail);
        } else {
            listener.failed(DispatchFault.CRASHED, Failure.of(ErrorKind.ENDPOINT_FAILED, detail));
        }
    }

    private void handleEvent(String data) {
        if (data.equals(DONE)) {
            listener.completed("");
            return;
        }
        Optional<ModelChunk> chunk = ModelChunk.parse(data);
        if (chunk.isEmpty()) {
            listener.failed(DispatchFault.FAILED, endpointFailure("sent an event that is not JSON"));
        } else if (!chunk.get().id().equals(request.value())) {
            listener.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ANSWER_MISMATCHED,
                            "endpoint " + endpoint.name() + " responded to request " + request
                                    + " with the answer to another request"));
        } else {
            handleToken(chunk.get());
        }
    }

    private void handleToken(ModelChunk chunk) {
        if (chunk.offset() == nextOffset) {
            nextOffset = chunk.offset() + 1;
            listener.tokenReceived(chunk.offset(), chunk.text());
        } else if (chunk.offset() > nextOffset) {
            listener.failed(
                    DispatchFault.FAILED,
                    endpointFailure("skipped tokens, from offset " + nextOffset + " to " + chunk.offset()));
        }
    }

    private Failure endpointFailure(String description) {
        return Failure.of(ErrorKind.ENDPOINT_FAILED, "endpoint " + endpoint.name() + " " + description);
    }

    private void cancelAtEndpoint() {
        http.controller().fork().onError(_ignored -> {}).start(_execution -> http.client()
                .request(EndpointHttpClient.uri(endpoint, "/v1/requests/" + request), spec -> {
                    spec.delete();
                    spec.readTimeout(EndpointHttpClient.SILENCE_TIMEOUT);
                })
                .then(_response -> {}));
    }

    /** Reads one response. A refusal counts only when its response is whole. */
    private final class TokenReader implements EngineResponseListener {
        private final int connection;
        private final ServerSentEventParser parser = new ServerSentEventParser();
        private boolean isRefusal;

        TokenReader(int connection) {
            this.connection = connection;
        }

        @Override
        public void headReceived(int status, HttpHeaders headers) {
            isRefusal = EndpointHttpClient.isRefusal(status, headers);
            if (isRefusal) {
                return;
            }
            if (status != 200) {
                listener.failed(DispatchFault.FAILED, endpointFailure("responded with HTTP status " + status));
            }
            unansweredResumes.set(0);
        }

        @Override
        public void contentReceived(ByteBuf content) {
            if (isRefusal || connection != connections.get()) {
                return;
            }
            try {
                parser.feed(ByteBufUtil.getBytes(content)).forEach(ModelStream.this::handleEvent);
            } catch (IllegalArgumentException malformed) {
                listener.failed(
                        DispatchFault.FAILED, endpointFailure("sent a malformed stream: " + malformed.getMessage()));
            }
        }

        @Override
        public void ended() {
            if (isRefusal) {
                listener.refused("endpoint " + endpoint.name() + " refused request " + request);
            } else {
                connectionEnded(
                        connection, new IllegalStateException("the stream ended before the answer was complete"));
            }
        }

        @Override
        public void failed(Throwable cause) {
            connectionEnded(connection, cause);
        }
    }
}
