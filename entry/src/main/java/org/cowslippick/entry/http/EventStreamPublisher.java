package org.cowslippick.entry.http;

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
 * Publishes the events of a streamed response (Reactive Streams 1.0.4). All state is confined to the event loop of the
 * caller's connection. The request is cancelled if a slow reader lets the buffer exceed its limit.
 */
final class EventStreamPublisher implements Publisher<ByteBuf>, Subscription {

    private static final int MAXIMUM_BUFFERED_EVENTS = 65_536;

    private final Executor eventLoop;
    private final Runnable onCallerDisconnected;
    private final Queue<String> buffer = new ArrayDeque<>();
    private Subscriber<? super ByteBuf> subscriber;
    private long demand;
    private boolean completed;
    private boolean closed;

    EventStreamPublisher(Executor eventLoop, Runnable onCallerDisconnected) {
        this.eventLoop = eventLoop;
        this.onCallerDisconnected = onCallerDisconnected;
    }

    /** Appends a server-sent event. */
    void publishEvent(String name, String json) {
        append("event: " + name + "\ndata: " + json + "\n\n");
    }

    /** Appends a server-sent event without a name. */
    void publishData(String json) {
        append("data: " + json + "\n\n");
    }

    /** Completes the response once all buffered events have been sent. */
    void complete() {
        eventLoop.execute(() -> {
            completed = true;
            emitBuffered();
        });
    }

    /** Subscribes synchronously, because Ratpack treats a response without a subscription as not sent. */
    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        subscriber = newSubscriber;
        newSubscriber.onSubscribe(this);
        emitBuffered();
    }

    @Override
    public void request(long count) {
        eventLoop.execute(() -> {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            emitBuffered();
        });
    }

    @Override
    public void cancel() {
        eventLoop.execute(this::abort);
    }

    private void append(String text) {
        eventLoop.execute(() -> {
            if (closed) {
                return;
            }
            buffer.add(text);
            emitBuffered();
            if (buffer.size() > MAXIMUM_BUFFERED_EVENTS) {
                subscriber.onError(new IllegalStateException(
                        "the caller reads too slowly: more than " + MAXIMUM_BUFFERED_EVENTS + " events are buffered"));
                abort();
            }
        });
    }

    private void abort() {
        if (!closed) {
            closed = true;
            buffer.clear();
            onCallerDisconnected.run();
        }
    }

    private void emitBuffered() {
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
