package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelOutboundInvoker;
import io.netty.util.concurrent.Future;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** Channel operations whose failures show as the close of the channel, so that nobody waits for their results. */
@SuppressWarnings("FutureReturnValueIgnored")
final class Channels {

    private Channels() {}

    /** Writes and flushes; a failure reaches the {@link FaultHandler}. */
    static void send(ChannelOutboundInvoker channel, Object message) {
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /** Writes without a flush. */
    static void write(ChannelOutboundInvoker channel, Object message) {
        channel.write(message, channel.voidPromise());
    }

    /** Calls the action once the future has ended, in whatever way. */
    static void whenDone(Future<?> future, Runnable action) {
        future.addListener(_done -> action.run());
    }

    /** Calls the action with the result or the failure. */
    static <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Throwable> action) {
        future.whenComplete(action);
    }

    static void close(ChannelOutboundInvoker channel) {
        channel.close();
    }
}
