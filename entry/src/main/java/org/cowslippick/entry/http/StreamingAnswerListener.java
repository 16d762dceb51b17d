package org.cowslippick.entry.http;

import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.entry.endpoint.Json;
import org.cowslippick.entry.request.AnswerListener;
import ratpack.exec.Downstream;

/**
 * Sends an answer token by token as server-sent events. The response starts with the first token, so that a failure
 * before it can still be sent with its own HTTP status.
 */
final class StreamingAnswerListener implements AnswerListener {

    private final RequestId request;
    private final AnswerFormat format;
    private final EventStreamPublisher publisher;
    private final Downstream<? super Start> start;
    private boolean started;

    StreamingAnswerListener(
            RequestId request, AnswerFormat format, EventStreamPublisher publisher, Downstream<? super Start> start) {
        this.request = request;
        this.format = format;
        this.publisher = publisher;
        this.start = start;
    }

    /** The start of the response: an event stream or an error. */
    sealed interface Start {
        /** The first token, or the end of the answer, has arrived. */
        record Stream(EventStreamPublisher publisher) implements Start {}

        /** The request failed before the first token. */
        record Failed(Failure failure, Receipt receipt) implements Start {}
    }

    @Override
    public synchronized void tokenReceived(int offset, String text) {
        format.publishToken(publisher, request, offset, text);
        startStream();
    }

    @Override
    public synchronized void completed(String _body, Receipt receipt) {
        format.publishEnd(publisher, request, receipt);
        publisher.complete();
        startStream();
    }

    @Override
    public synchronized void failed(Failure failure, Receipt receipt) {
        if (!started) {
            started = true;
            start.success(new Start.Failed(failure, receipt));
            return;
        }
        publisher.publishEvent("error", Json.write(ErrorBody.of(failure, receipt)));
        publisher.complete();
    }

    private void startStream() {
        if (!started) {
            started = true;
            start.success(new Start.Stream(publisher));
        }
    }
}
