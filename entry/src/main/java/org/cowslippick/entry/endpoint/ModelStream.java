package org.cowslippick.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
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
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * One answer of a model engine. A stream that breaks after it started is resumed once from its offset, which runs
 * nothing again.
 */
final class ModelStream implements Dispatch {

    private static final String DONE = "[DONE]";
    private static final int REFUSED_STATUS = 503;

    private final EndpointHttp http;
    private final Endpoint endpoint;
    private final RequestId request;
    private final SingleEnding listener;
    private final AtomicReference<Subscription> subscription = new AtomicReference<>();
    private final AtomicBoolean resumed = new AtomicBoolean();
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
            cancelSubscription();
            cancelAtEngine();
        }
    }

    private void resume() {
        open("/v1/requests/" + request + "/stream?offset=" + nextOffset, RequestSpec::get);
    }

    private void open(String path, Action<RequestSpec> configure) {
        http.controller().fork().onError(this::broken).start(_execution -> http.client()
                .requestStream(EndpointHttp.uri(endpoint, path), configure)
                .flatMap(this::read)
                .then(_done -> ended()));
    }

    private Promise<Boolean> read(StreamedResponse response) {
        int status = response.getStatusCode();
        if (status == REFUSED_STATUS && response.getHeaders().contains(EndpointHttp.NOT_STARTED_HEADER)) {
            listener.refused("endpoint " + endpoint.name() + " refused request " + request);
        } else if (status != 200) {
            listener.failed(failure("answered with status " + status));
        }
        return Promise.async(downstream -> response.getBody().subscribe(new TokenReader(downstream)));
    }

    private void ended() {
        if (!listener.ended()) {
            broken(new IllegalStateException("the stream ended early"));
        }
    }

    private void broken(Throwable cause) {
        if (listener.ended()) {
            return;
        }
        if (nextOffset == 0 && EndpointHttp.notSent(cause)) {
            listener.notSent("endpoint " + endpoint.name() + " accepts no connection: " + cause.getMessage());
        } else if (nextOffset > 0 && resumed.compareAndSet(false, true)) {
            resume();
        } else {
            listener.failed(failure("broke its stream after " + nextOffset + " tokens: " + cause.getMessage()));
        }
    }

    private void event(String data) {
        if (data.equals(DONE)) {
            listener.finished("");
            return;
        }
        Optional<ModelChunk> chunk = ModelChunk.parse(data);
        if (chunk.isEmpty()) {
            listener.failed(failure("sent an event that is not JSON"));
        } else if (!chunk.get().id().equals(request.value())) {
            listener.failed(Failure.of(
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
            listener.failed(failure("skipped from token " + nextOffset + " to " + chunk.offset()));
        }
    }

    private Failure failure(String what) {
        return Failure.of(ErrorKind.ENDPOINT_FAILED, "endpoint " + endpoint.name() + " " + what);
    }

    private void cancelSubscription() {
        Optional.ofNullable(subscription.get()).ifPresent(Subscription::cancel);
    }

    private void cancelAtEngine() {
        http.controller().fork().onError(_unreachable -> {}).start(_execution -> http.client()
                .request(EndpointHttp.uri(endpoint, "/v1/requests/" + request), RequestSpec::delete)
                .then(_response -> {}));
    }

    /** Reads the body of one response and completes the promise at its end. */
    private final class TokenReader implements Subscriber<ByteBuf> {
        private final Downstream<? super Boolean> downstream;
        private final ServerSentEventParser parser = new ServerSentEventParser();

        TokenReader(Downstream<? super Boolean> downstream) {
            this.downstream = downstream;
        }

        @Override
        public void onSubscribe(Subscription opened) {
            subscription.set(opened);
            if (listener.ended()) {
                opened.cancel();
                downstream.success(true);
            } else {
                opened.request(Long.MAX_VALUE);
            }
        }

        @Override
        public void onNext(ByteBuf buffer) {
            try {
                parser.feed(ByteBufUtil.getBytes(buffer)).forEach(ModelStream.this::event);
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
