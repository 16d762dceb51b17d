package org.cowslippick.entry.http;

import io.vavr.control.Either;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.entry.request.AnswerListener;
import ratpack.exec.Downstream;

/** Collects a complete answer, to be sent in a single response. */
final class BufferingAnswerListener implements AnswerListener {

    private final Downstream<? super Either<Failed, Collected>> downstream;
    private final StringBuilder text = new StringBuilder();

    BufferingAnswerListener(Downstream<? super Either<Failed, Collected>> downstream) {
        this.downstream = downstream;
    }

    /** The complete answer of a model call in {@code text}, or of an application call in {@code body}. */
    record Collected(String text, String body, Receipt receipt) {}

    /** A failure with its receipt. */
    record Failed(Failure failure, Receipt receipt) {}

    @Override
    public synchronized void tokenReceived(int _offset, String token) {
        text.append(token);
    }

    @Override
    public synchronized void completed(String body, Receipt receipt) {
        downstream.success(Either.right(new Collected(text.toString(), body, receipt)));
    }

    @Override
    public synchronized void failed(Failure failure, Receipt receipt) {
        downstream.success(Either.left(new Failed(failure, receipt)));
    }
}
