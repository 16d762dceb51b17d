package org.cowslippick.entry.door;

import io.vavr.control.Either;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.entry.request.AnswerListener;
import ratpack.exec.Downstream;

/** An answer that is collected and sent whole. */
final class WholeAnswer implements AnswerListener {

    private final Downstream<? super Either<Refused, Collected>> downstream;
    private final StringBuilder text = new StringBuilder();

    WholeAnswer(Downstream<? super Either<Refused, Collected>> downstream) {
        this.downstream = downstream;
    }

    /** The whole answer of a model call in {@code text}, or of an application call in {@code body}. */
    record Collected(String text, String body, Receipt receipt) {}

    /** A failure with its receipt. */
    record Refused(Failure failure, Receipt receipt) {}

    @Override
    public synchronized void token(int _offset, String token) {
        text.append(token);
    }

    @Override
    public synchronized void finished(String body, Receipt receipt) {
        downstream.success(Either.right(new Collected(text.toString(), body, receipt)));
    }

    @Override
    public synchronized void failed(Failure failure, Receipt receipt) {
        downstream.success(Either.left(new Refused(failure, receipt)));
    }
}
