package org.cowslippick.cli.http;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Cuts a streamed body into lines; bytes are decoded only when a line is whole. */
final class LineSubscriber implements Subscriber<ByteBuf> {

    private final int status;
    private final Consumer<String> lines;
    private final CompletableFuture<Either<HttpFault, HttpAnswer>> result;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder body = new StringBuilder();

    LineSubscriber(int status, Consumer<String> lines, CompletableFuture<Either<HttpFault, HttpAnswer>> result) {
        this.status = status;
        this.lines = lines;
        this.result = result;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(ByteBuf chunk) {
        try {
            chunk.forEachByte(this::take);
        } finally {
            chunk.release();
        }
    }

    @Override
    public void onError(Throwable _failure) {
        result.complete(Either.left(HttpFault.ANSWER_LOST));
    }

    @Override
    public void onComplete() {
        finishLine();
        result.complete(Either.right(new HttpAnswer(status, body.toString())));
    }

    private boolean take(byte next) {
        if (next == '\n') {
            finishLine();
        } else {
            line.write(next);
        }
        return true;
    }

    private void finishLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (new HttpAnswer(status, "").successful()) {
            lines.accept(text);
        } else {
            body.append(text).append('\n');
        }
    }
}
