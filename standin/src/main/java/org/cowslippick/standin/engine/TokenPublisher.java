package org.cowslippick.standin.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.cowslippick.entry.endpoint.Json;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Streams the tokens of a sequence as server-sent events; runs on the event loop of the connection. */
final class TokenPublisher implements Publisher<ByteBuf>, Subscription {

    private final EngineLoop loop;
    private final Sequence sequence;
    private final Executor eventLoop;
    private final Supplier<EngineFaults> faults;
    private Subscriber<? super ByteBuf> subscriber;
    private int next;
    private long demand;
    private boolean closed;

    TokenPublisher(EngineLoop loop, Sequence sequence, int offset, Executor eventLoop, Supplier<EngineFaults> faults) {
        this.loop = loop;
        this.sequence = sequence;
        this.next = offset;
        this.eventLoop = eventLoop;
        this.faults = faults;
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        subscriber = newSubscriber;
        newSubscriber.onSubscribe(this);
        synchronized (loop) {
            sequence.read(_count -> eventLoop.execute(this::drain));
        }
        eventLoop.execute(this::drain);
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
        closed = true;
    }

    private void drain() {
        if (faults.get().silent()) {
            return;
        }
        synchronized (loop) {
            while (!closed && demand > 0 && next < sequence.tokens().size()) {
                send(event(next, sequence.tokens().get(next)));
                next++;
            }
            if (!closed && sequence.finished() && next == sequence.tokens().size()) {
                closed = true;
                subscriber.onNext(buffer("data: [DONE]\n\n"));
                subscriber.onComplete();
            }
        }
    }

    private void send(String event) {
        demand--;
        subscriber.onNext(buffer(event));
    }

    private String event(int offset, String text) {
        String id = faults.get().crossed() ? "another-request" : sequence.id();
        return "data: {\"id\":" + Json.write(id) + ",\"offset\":" + offset + ",\"choices\":[{\"delta\":{\"content\":"
                + Json.write(text) + "},\"finish_reason\":null}]}\n\n";
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
