package org.cowslippick.entry.door;

import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.entry.endpoint.Json;
import org.cowslippick.entry.request.AnswerListener;
import ratpack.exec.Downstream;

/**
 * An answer sent token by token as server-sent events. The response starts with the first token, so that a failure
 * before it still gets its own status.
 */
final class StreamedAnswer implements AnswerListener {

    private final RequestId request;
    private final AnswerFormat format;
    private final AnswerPublisher publisher;
    private final Downstream<? super Start> start;
    private boolean started;

    StreamedAnswer(RequestId request, AnswerFormat format, AnswerPublisher publisher, Downstream<? super Start> start) {
        this.request = request;
        this.format = format;
        this.publisher = publisher;
        this.start = start;
    }

    /** How the response starts: with its stream, or with an error. */
    sealed interface Start {
        /** The first token is there. */
        record Stream(AnswerPublisher publisher) implements Start {}

        /** It failed before the first token. */
        record Refused(Failure failure, Receipt receipt) implements Start {}
    }

    @Override
    public synchronized void token(int offset, String text) {
        format.token(publisher, request, offset, text);
        startStream();
    }

    @Override
    public synchronized void finished(String _body, Receipt receipt) {
        format.end(publisher, request, receipt);
        publisher.complete();
        startStream();
    }

    @Override
    public synchronized void failed(Failure failure, Receipt receipt) {
        if (!started) {
            started = true;
            start.success(new Start.Refused(failure, receipt));
            return;
        }
        publisher.event("error", Json.write(ErrorBody.of(failure, receipt)));
        publisher.complete();
    }

    private void startStream() {
        if (!started) {
            started = true;
            start.success(new Start.Stream(publisher));
        }
    }
}
