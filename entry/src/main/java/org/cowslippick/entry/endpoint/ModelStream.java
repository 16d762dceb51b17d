package org.cowslippick.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.entry.endpoint.EndpointCall.ModelCall;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * The streamed answer of a model engine. If the connection is lost or silent, a new one resumes the answer at the next
 * offset, so that the request does not run again. The behaviour of the new connection decides which fault is reported.
 */
final class ModelStream implements Dispatch {

    private static final String DONE = "[DONE]";
    private static final int REFUSED_STATUS = 503;
    private static final int MAXIMUM_UNANSWERED_RESUMES = 2;

    private final EndpointHttpClient http;
    private final Endpoint endpoint;
    private final RequestId request;
    private final OneShotDispatchListener listener;
    private final AtomicReference<Subscription> subscription = new AtomicReference<>();
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
        open("/v1/chat/completions", spec -> {
            spec.post();
            spec.getHeaders().set(EndpointHttpClient.REQUEST_ID_HEADER, request.value());
            spec.getBody().type("application/json").text(body);
        });
    }

    @Override
    public void cancel() {
        if (listener.terminate()) {
            Optional.ofNullable(subscription.get()).ifPresent(Subscription::cancel);
            cancelAtEndpoint();
        }
    }

    private void resume() {
        open("/v1/requests/" + request + "/stream?offset=" + nextOffset, RequestSpec::get);
    }

    private void open(String path, Action<RequestSpec> configure) {
        int connection = connections.incrementAndGet();
        Action<RequestSpec> timed = spec -> {
            spec.readTimeout(EndpointHttpClient.SILENCE_TIMEOUT);
            configure.execute(spec);
        };
        http.controller()
                .fork()
                .onError(cause -> connectionEnded(connection, cause))
                .start(_execution -> http.client()
                        .requestStream(EndpointHttpClient.uri(endpoint, path), timed)
                        .flatMap(response -> read(connection, response))
                        .then(_done -> connectionEnded(
                                connection,
                                new IllegalStateException("the stream ended before the answer was complete"))));
    }

    private Promise<Boolean> read(int connection, StreamedResponse response) {
        int status = response.getStatusCode();
        if (status == REFUSED_STATUS && response.getHeaders().contains(EndpointHttpClient.NOT_STARTED_HEADER)) {
            listener.refused("endpoint " + endpoint.name() + " refused request " + request);
        } else if (status != 200) {
            listener.failed(DispatchFault.FAILED, endpointFailure("responded with HTTP status " + status));
        }
        unansweredResumes.set(0);
        return Promise.async(downstream -> response.getBody().subscribe(new TokenReader(connection, downstream)));
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
        } else if (cause instanceof HttpClientReadTimeoutException) {
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

    /** Reads the body of one response and completes the promise when the body ends. */
    private final class TokenReader implements Subscriber<ByteBuf> {
        private final int connection;
        private final Downstream<? super Boolean> downstream;
        private final ServerSentEventParser parser = new ServerSentEventParser();

        TokenReader(int connection, Downstream<? super Boolean> downstream) {
            this.connection = connection;
            this.downstream = downstream;
        }

        @Override
        public void onSubscribe(Subscription opened) {
            subscription.set(opened);
            if (listener.hasTerminated() || connection != connections.get()) {
                opened.cancel();
                downstream.success(true);
            } else {
                opened.request(Long.MAX_VALUE);
            }
        }

        @Override
        public void onNext(ByteBuf buffer) {
            try {
                if (connection == connections.get()) {
                    parser.feed(ByteBufUtil.getBytes(buffer)).forEach(ModelStream.this::handleEvent);
                }
            } catch (IllegalArgumentException malformed) {
                listener.failed(
                        DispatchFault.FAILED, endpointFailure("sent a malformed stream: " + malformed.getMessage()));
            } finally {
                buffer.release();
            }
        }

        @Override
        public void onError(Throwable cause) {
            downstream.error(cause);
        }

        @Override
        public void onComplete() {
            downstream.success(true);
        }
    }
}
