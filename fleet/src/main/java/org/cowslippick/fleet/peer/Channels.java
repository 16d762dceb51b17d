package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelOutboundInvoker;
import io.netty.util.concurrent.Future;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** Channel operations whose failures close the channel, so that callers need not wait for the returned futures. */
@SuppressWarnings("FutureReturnValueIgnored")
final class Channels {

    private Channels() {}

    /** Writes and flushes; a failure is passed to {@link ConnectionExceptionHandler}. */
    static void send(ChannelOutboundInvoker channel, Object message) {
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /** Writes without a flush. */
    static void write(ChannelOutboundInvoker channel, Object message) {
        channel.write(message, channel.voidPromise());
    }

    /** Runs the action once the future has completed, successfully or not. */
    static void whenDone(Future<?> future, Runnable action) {
        future.addListener(_done -> action.run());
    }

    /** Passes the result or the failure to the action. */
    static <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Throwable> action) {
        future.whenComplete(action);
    }

    static void close(ChannelOutboundInvoker channel) {
        channel.close();
    }
}
