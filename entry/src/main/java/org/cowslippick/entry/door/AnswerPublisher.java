package org.cowslippick.entry.door;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of a streamed answer (Reactive Streams 1.0.4). Everything runs on the event loop of the caller's
 * connection. A caller who reads too slowly is given up when the buffer is full.
 */
final class AnswerPublisher implements Publisher<ByteBuf>, Subscription {

    private static final int MAXIMUM_BUFFERED_EVENTS = 65_536;

    private final Executor eventLoop;
    private final Runnable whenCallerLeft;
    private final Queue<String> buffer = new ArrayDeque<>();
    private Subscriber<? super ByteBuf> subscriber;
    private long demand;
    private boolean completed;
    private boolean closed;

    AnswerPublisher(Executor eventLoop, Runnable whenCallerLeft) {
        this.eventLoop = eventLoop;
        this.whenCallerLeft = whenCallerLeft;
    }

    /** Appends a server-sent event. */
    void event(String name, String json) {
        append("event: " + name + "\ndata: " + json + "\n\n");
    }

    /** Appends the data of an unnamed server-sent event. */
    void data(String json) {
        append("data: " + json + "\n\n");
    }

    /** Ends the body when everything before was sent. */
    void complete() {
        eventLoop.execute(() -> {
            completed = true;
            drain();
        });
    }

    /** Subscribes at once, since Ratpack takes a response that has no subscription as not sent. */
    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        subscriber = newSubscriber;
        newSubscriber.onSubscribe(this);
        drain();
    }

    @Override
    public void request(long count) {
        eventLoop.execute(() -> {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            drain();
        });
    }

    @Override
    public void cancel() {
        eventLoop.execute(this::giveUp);
    }

    private void append(String text) {
        eventLoop.execute(() -> {
            if (closed) {
                return;
            }
            buffer.add(text);
            drain();
            if (buffer.size() > MAXIMUM_BUFFERED_EVENTS) {
                subscriber.onError(new IllegalStateException("the caller reads too slowly"));
                giveUp();
            }
        });
    }

    private void giveUp() {
        if (!closed) {
            closed = true;
            buffer.clear();
            whenCallerLeft.run();
        }
    }

    private void drain() {
        if (subscriber == null || closed) {
            return;
        }
        while (demand > 0 && !buffer.isEmpty()) {
            demand--;
            subscriber.onNext(Unpooled.copiedBuffer(buffer.remove(), StandardCharsets.UTF_8));
        }
        if (completed && buffer.isEmpty()) {
            closed = true;
            subscriber.onComplete();
        }
    }
}
