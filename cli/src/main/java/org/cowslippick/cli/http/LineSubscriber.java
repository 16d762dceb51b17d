package org.cowslippick.cli.http;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Splits a streamed body into lines. Lines of a successful response go to the consumer, and lines of any other response
 * form the body of the result. Bytes are decoded only when a line is complete, because a chunk may end within a UTF-8
 * character.
 */
final class LineSubscriber implements Subscriber<ByteBuf> {

    private final int status;
    private final Consumer<String> lineConsumer;
    private final CompletableFuture<Either<HttpFault, HttpResponse>> result;
    private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream();
    private final StringBuilder body = new StringBuilder();

    LineSubscriber(
            int status, Consumer<String> lineConsumer, CompletableFuture<Either<HttpFault, HttpResponse>> result) {
        this.status = status;
        this.lineConsumer = lineConsumer;
        this.result = result;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(ByteBuf chunk) {
        try {
            chunk.forEachByte(this::acceptByte);
        } finally {
            chunk.release();
        }
    }

    @Override
    public void onError(Throwable _failure) {
        result.complete(Either.left(HttpFault.RESPONSE_LOST));
    }

    @Override
    public void onComplete() {
        finishLine();
        result.complete(Either.right(new HttpResponse(status, body.toString())));
    }

    private boolean acceptByte(byte value) {
        if (value == '\n') {
            finishLine();
        } else {
            lineBytes.write(value);
        }
        return true;
    }

    private void finishLine() {
        String text = lineBytes.toString(StandardCharsets.UTF_8);
        lineBytes.reset();
        if (new HttpResponse(status, "").isSuccess()) {
            lineConsumer.accept(text);
        } else {
            body.append(text).append('\n');
        }
    }
}
