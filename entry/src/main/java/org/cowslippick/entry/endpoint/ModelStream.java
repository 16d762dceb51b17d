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
 * One answer of a model engine. A connection that breaks or falls silent is replaced by a new one that resumes the
 * answer from its offset, which runs nothing again; the endpoint is judged by what the new connection does.
 */
final class ModelStream implements Dispatch {

    private static final String DONE = "[DONE]";
    private static final int REFUSED_STATUS = 503;
    private static final int MAXIMUM_RESUMES_WITHOUT_ANSWER = 2;

    private final EndpointHttp http;
    private final Endpoint endpoint;
    private final RequestId request;
    private final SingleEnding listener;
    private final AtomicReference<Subscription> subscription = new AtomicReference<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger resumesWithoutAnswer = new AtomicInteger();
    private volatile int nextOffset;

    ModelStream(EndpointHttp http, Endpoint endpoint, RequestId request, DispatchListener listener) {
        this.http = http;
        this.endpoint = endpoint;
        this.request = request;
        this.listener = new SingleEnding(listener);
    }

    void start(ModelCall call) {
        String body = "{\"model\":" + Json.write(call.model()) + ",\"messages\":" + call.messages() + ",\"max_tokens\":"
                + call.maximumAnswerTokens() + ",\"stream\":true}";
        open("/v1/chat/completions", spec -> {
            spec.post();
            spec.getHeaders().set(EndpointHttp.REQUEST_ID_HEADER, request.value());
            spec.getBody().type("application/json").text(body);
        });
    }

    @Override
    public void cancel() {
        if (listener.end()) {
            Optional.ofNullable(subscription.get()).ifPresent(Subscription::cancel);
            cancelAtEngine();
        }
    }

    private void resume() {
        open("/v1/requests/" + request + "/stream?offset=" + nextOffset, RequestSpec::get);
    }

    private void open(String path, Action<RequestSpec> configure) {
        int connection = connections.incrementAndGet();
        Action<RequestSpec> timed = spec -> {
            spec.readTimeout(EndpointHttp.SILENCE_TIMEOUT);
            configure.execute(spec);
        };
        http.controller().fork().onError(cause -> broken(connection, cause)).start(_execution -> http.client()
                .requestStream(EndpointHttp.uri(endpoint, path), timed)
                .flatMap(response -> read(connection, response))
                .then(_done -> broken(connection, new IllegalStateException("the stream ended early"))));
    }

    private Promise<Boolean> read(int connection, StreamedResponse response) {
        int status = response.getStatusCode();
        if (status == REFUSED_STATUS && response.getHeaders().contains(EndpointHttp.NOT_STARTED_HEADER)) {
            listener.refused("endpoint " + endpoint.name() + " refused request " + request);
        } else if (status != 200) {
            listener.failed(DispatchFault.FAILED, failure("answered with status " + status));
        }
        resumesWithoutAnswer.set(0);
        return Promise.async(downstream -> response.getBody().subscribe(new TokenReader(connection, downstream)));
    }

    /** Decides what follows the end of a connection, unless the answer ended or another connection took over. */
    private void broken(int connection, Throwable cause) {
        if (listener.ended() || connection != connections.get()) {
            return;
        }
        boolean first = connection == 1;
        if (EndpointHttp.notSent(cause)) {
            noConnection(first, cause);
        } else if (resumesWithoutAnswer.incrementAndGet() <= MAXIMUM_RESUMES_WITHOUT_ANSWER) {
            resume();
        } else if (cause instanceof HttpClientReadTimeoutException) {
            listener.failed(
                    DispatchFault.SILENT,
                    Failure.of(ErrorKind.ENDPOINT_SILENT, "endpoint " + endpoint.name() + " says nothing"));
        } else {
            listener.failed(DispatchFault.FAILED, failure("broke its stream: " + cause.getMessage()));
        }
    }

    private void noConnection(boolean first, Throwable cause) {
        String detail = "endpoint " + endpoint.name() + " accepts no connection: " + cause.getMessage();
        if (first) {
            listener.notSent(detail);
        } else {
            listener.failed(DispatchFault.CRASHED, Failure.of(ErrorKind.ENDPOINT_FAILED, detail));
        }
    }

    private void event(String data) {
        if (data.equals(DONE)) {
            listener.finished("");
            return;
        }
        Optional<ModelChunk> chunk = ModelChunk.parse(data);
        if (chunk.isEmpty()) {
            listener.failed(DispatchFault.FAILED, failure("sent an event that is not JSON"));
        } else if (!chunk.get().id().equals(request.value())) {
            listener.failed(
                    DispatchFault.FAILED,
                    Failure.of(
                            ErrorKind.ANSWER_MISMATCHED,
                            "endpoint " + endpoint.name() + " answered request " + request + " with that of another"));
        } else {
            token(chunk.get());
        }
    }

    private void token(ModelChunk chunk) {
        if (chunk.offset() == nextOffset) {
            nextOffset = chunk.offset() + 1;
            listener.token(chunk.offset(), chunk.text());
        } else if (chunk.offset() > nextOffset) {
            listener.failed(
                    DispatchFault.FAILED, failure("skipped from token " + nextOffset + " to " + chunk.offset()));
        }
    }

    private Failure failure(String what) {
        return Failure.of(ErrorKind.ENDPOINT_FAILED, "endpoint " + endpoint.name() + " " + what);
    }

    private void cancelAtEngine() {
        http.controller().fork().onError(_unreachable -> {}).start(_execution -> http.client()
                .request(EndpointHttp.uri(endpoint, "/v1/requests/" + request), spec -> {
                    spec.delete();
                    spec.readTimeout(EndpointHttp.SILENCE_TIMEOUT);
                })
                .then(_response -> {}));
    }

    /** Reads the body of one response and completes the promise at its end. */
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
            if (listener.ended() || connection != connections.get()) {
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
                    parser.feed(ByteBufUtil.getBytes(buffer)).forEach(ModelStream.this::event);
                }
            } catch (IllegalArgumentException malformed) {
                listener.failed(DispatchFault.FAILED, failure("sent a malformed stream: " + malformed.getMessage()));
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
