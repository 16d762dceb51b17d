package org.cowslippick.fleet.platform;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.reactivestreams.Subscriber;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.StreamedResponse;

/** One watch stream: splits it into lines, and ends it when it has been silent for too long. */
final class HttpWatch implements Subscription, Subscriber<ByteBuf> {

    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(15);
    private static final Duration SILENCE_CHECK_PERIOD = Duration.ofSeconds(5);
    private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

    private final String kind;
    private final TimerService timer;
    private final WatchListener listener;
    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicReference<org.reactivestreams.Subscription> stream = new AtomicReference<>();
    private final Subscription silenceCheck;
    private volatile long lastHeardNanos;

    HttpWatch(String kind, TimerService timer, WatchListener listener) {
        this.kind = kind;
        this.timer = timer;
        this.listener = listener;
        this.lastHeardNanos = timer.nanoTime();
        this.silenceCheck = timer.every(SILENCE_CHECK_PERIOD, this::checkSilence);
    }

    void start(ExecController controller, HttpClient client, URI uri) {
        controller.fork().onError(_failure -> end(PlatformFault.UNAVAILABLE)).start(_execution -> client.requestStream(
                        uri, spec -> spec.readTimeout(SILENCE_LIMIT))
                .then(this::opened));
    }

    @Override
    public void cancel() {
        ended.set(true);
        stop();
    }

    @Override
    public void onSubscribe(org.reactivestreams.Subscription opened) {
        stream.set(opened);
        if (ended.get()) {
            opened.cancel();
        } else {
            opened.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(ByteBuf chunk) {
        lastHeardNanos = timer.nanoTime();
        byte[] bytes = new byte[chunk.readableBytes()];
        chunk.readBytes(bytes);
        chunk.release();
        append(bytes);
    }

    @Override
    public void onError(Throwable _failure) {
        end(PlatformFault.UNAVAILABLE);
    }

    @Override
    public void onComplete() {
        end(PlatformFault.UNAVAILABLE);
    }

    private void opened(StreamedResponse response) {
        if (response.getStatusCode() != 200) {
            end(HttpPlatform.fault(response.getStatusCode(), PlatformFault.UNAVAILABLE));
        }
        response.getBody().subscribe(this);
    }

    private void append(byte[] bytes) {
        int lastLineEnd = bytes.length - 1;
        while (lastLineEnd >= 0 && bytes[lastLineEnd] != '\n') {
            lastLineEnd--;
        }
        incomplete.write(bytes, 0, lastLineEnd + 1);
        if (lastLineEnd >= 0) {
            String lines = incomplete.toString(StandardCharsets.UTF_8);
            incomplete.reset();
            LINES.splitToStream(lines).forEach(this::line);
        }
        incomplete.write(bytes, lastLineEnd + 1, bytes.length - lastLineEnd - 1);
    }

    private void line(String text) {
        if (ended.get()) {
            return;
        }
        PlatformJson.read(text, PlatformJson.WatchLine.class)
                .peek(this::tell)
                .peekLeft(_problem -> end(PlatformFault.UNAVAILABLE));
    }

    private void tell(PlatformJson.WatchLine line) {
        switch (line.type()) {
            case PlatformJson.WatchLine.CHANGED ->
                listener.changed(new StoredObject(new ObjectKey(kind, line.name()), line.version(), line.value()));
            case PlatformJson.WatchLine.DELETED ->
                listener.deleted(new ObjectKey(kind, line.name()), line.version());
            default -> {
                // "alive" lines only prove that the stream is not silent.
            }
        }
    }

    private void checkSilence() {
        if (timer.nanoTime() - lastHeardNanos > SILENCE_LIMIT.toNanos()) {
            end(PlatformFault.UNAVAILABLE);
        }
    }

    private void end(PlatformFault reason) {
        if (ended.compareAndSet(false, true)) {
            stop();
            listener.ended(reason);
        }
    }

    private void stop() {
        silenceCheck.cancel();
        org.reactivestreams.Subscription opened = stream.get();
        if (opened != null) {
            opened.cancel();
        }
    }
}
