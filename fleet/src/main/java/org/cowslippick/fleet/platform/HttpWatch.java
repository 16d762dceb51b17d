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

/** A watch stream over HTTP, which is split into lines and ends if nothing arrives within the idle timeout. */
final class HttpWatch implements Subscription, Subscriber<ByteBuf> {

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration IDLE_CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

    private final String kind;
    private final TimerService timer;
    private final WatchListener listener;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private final AtomicBoolean hasEnded = new AtomicBoolean();
    private final AtomicReference<org.reactivestreams.Subscription> stream = new AtomicReference<>();
    private final Subscription idleCheck;
    private volatile long lastReceivedNanos;

    HttpWatch(String kind, TimerService timer, WatchListener listener) {
        this.kind = kind;
        this.timer = timer;
        this.listener = listener;
        this.lastReceivedNanos = timer.nanoTime();
        this.idleCheck = timer.scheduleWithFixedDelay(IDLE_CHECK_PERIOD, this::checkIdle);
    }

    void start(ExecController controller, HttpClient client, URI uri) {
        controller.fork().onError(_failure -> end(PlatformFault.UNAVAILABLE)).start(_execution -> client.requestStream(
                        uri, spec -> spec.readTimeout(IDLE_TIMEOUT))
                .then(this::subscribeTo));
    }

    @Override
    public void cancel() {
        hasEnded.set(true);
        stop();
    }

    @Override
    public void onSubscribe(org.reactivestreams.Subscription opened) {
        stream.set(opened);
        if (hasEnded.get()) {
            opened.cancel();
        } else {
            opened.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(ByteBuf chunk) {
        lastReceivedNanos = timer.nanoTime();
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

    private void subscribeTo(StreamedResponse response) {
        if (response.getStatusCode() != 200) {
            end(HttpPlatform.toFault(response.getStatusCode(), PlatformFault.UNAVAILABLE));
        }
        response.getBody().subscribe(this);
    }

    private void append(byte[] bytes) {
        int lastLineEnd = bytes.length - 1;
        while (lastLineEnd >= 0 && bytes[lastLineEnd] != '\n') {
            lastLineEnd--;
        }
        partialLine.write(bytes, 0, lastLineEnd + 1);
        if (lastLineEnd >= 0) {
            String lines = partialLine.toString(StandardCharsets.UTF_8);
            partialLine.reset();
            LINES.splitToStream(lines).forEach(this::handleLine);
        }
        partialLine.write(bytes, lastLineEnd + 1, bytes.length - lastLineEnd - 1);
    }

    private void handleLine(String text) {
        if (hasEnded.get()) {
            return;
        }
        PlatformJson.read(text, PlatformJson.WatchLine.class)
                .peek(this::notifyListener)
                .peekLeft(_problem -> end(PlatformFault.UNAVAILABLE));
    }

    private void notifyListener(PlatformJson.WatchLine line) {
        switch (line.type()) {
            case PlatformJson.WatchLine.CHANGED ->
                listener.changed(new StoredObject(new ObjectKey(kind, line.name()), line.version(), line.value()));
            case PlatformJson.WatchLine.DELETED -> listener.deleted(new ObjectKey(kind, line.name()), line.version());
            default -> {
                // "alive" lines are heartbeats and carry no change.
            }
        }
    }

    private void checkIdle() {
        if (timer.nanoTime() - lastReceivedNanos > IDLE_TIMEOUT.toNanos()) {
            end(PlatformFault.UNAVAILABLE);
        }
    }

    private void end(PlatformFault reason) {
        if (hasEnded.compareAndSet(false, true)) {
            stop();
            listener.ended(reason);
        }
    }

    private void stop() {
        idleCheck.cancel();
        org.reactivestreams.Subscription opened = stream.get();
        if (opened != null) {
            opened.cancel();
        }
    }
}
