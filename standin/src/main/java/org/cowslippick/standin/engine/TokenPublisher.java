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

/** Streams the tokens of a sequence as server-sent events. Runs on the event loop of its connection. */
final class TokenPublisher implements Publisher<ByteBuf>, Subscription {

    private final EngineLoop loop;
    private final Sequence sequence;
    private final Executor eventLoop;
    private final Supplier<EngineFaults> faults;
    private Subscriber<? super ByteBuf> subscriber;
    private int nextOffset;
    private long demand;
    private boolean isClosed;

    TokenPublisher(EngineLoop loop, Sequence sequence, int offset, Executor eventLoop, Supplier<EngineFaults> faults) {
        this.loop = loop;
        this.sequence = sequence;
        this.nextOffset = offset;
        this.eventLoop = eventLoop;
        this.faults = faults;
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        subscriber = newSubscriber;
        newSubscriber.onSubscribe(this);
        synchronized (loop) {
            sequence.setTokenListener(_count -> eventLoop.execute(this::publishAvailable));
        }
        eventLoop.execute(this::publishAvailable);
    }

    @Override
    public void request(long additionalDemand) {
        eventLoop.execute(() -> {
            demand = demand + additionalDemand < 0 ? Long.MAX_VALUE : demand + additionalDemand;
            publishAvailable();
        });
    }

    @Override
    public void cancel() {
        isClosed = true;
    }

    private void publishAvailable() {
        if (faults.get().silent()) {
            return;
        }
        synchronized (loop) {
            while (!isClosed && demand > 0 && nextOffset < sequence.tokens().size()) {
                send(event(nextOffset, sequence.tokens().get(nextOffset)));
                nextOffset++;
            }
            if (!isClosed
                    && sequence.isFinished()
                    && nextOffset == sequence.tokens().size()) {
                isClosed = true;
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
        String id = faults.get().mismatchedIds() ? "another-request" : sequence.id();
        return "data: {\"id\":" + Json.write(id) + ",\"offset\":" + offset + ",\"choices\":[{\"delta\":{\"content\":"
                + Json.write(text) + "},\"finish_reason\":null}]}\n\n";
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
