package org.cowslippick.fleet.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.Heartbeat;
import org.cowslippick.fleet.wire.Priority;

/**
 * The connection on which this entry sends to one peer. The first message opens it; messages sent meanwhile wait in a
 * bounded queue. After a failed attempt, sends are rejected until an exponential backoff with jitter has passed.
 */
final class OutboundConnection {

    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
    static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    static final int MAXIMUM_QUEUED_MESSAGES = 4096;
    static final long MAXIMUM_UNSENT_BYTES = 4L << 20;

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(1);
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;

    private final ArrayDeque<byte[]> queuedFrames = new ArrayDeque<>();
    private final Runnable dial;
    private volatile Optional<Channel> activeChannel = Optional.empty();
    private volatile long lastReceivedNanos;
    private volatile long lastSentNanos;
    private boolean isDialling;
    private int consecutiveFailures;
    private long retryAtNanos;

    /** Creates a closed connection; {@code dial} starts an attempt that ends in {@link #opened} or {@link #failed}. */
    OutboundConnection(long nowNanos, Runnable dial) {
        this.retryAtNanos = nowNanos;
        this.dial = dial;
    }

    SendResult send(byte[] frame, Priority priority, long nowNanos) {
        lastSentNanos = nowNanos;
        return activeChannel.map(channel -> write(channel, frame, priority)).orElseGet(() -> enqueue(frame, nowNanos));
    }

    /** Makes the channel the active one, after writing the queued messages to it. */
    synchronized void opened(Channel channel, long nowNanos) {
        isDialling = false;
        consecutiveFailures = 0;
        lastReceivedNanos = nowNanos;
        queuedFrames.forEach(frame -> Channels.write(channel, Unpooled.wrappedBuffer(frame)));
        queuedFrames.clear();
        channel.flush();
        activeChannel = Optional.of(channel);
    }

    /** Called when an attempt to connect failed: discards the queued messages and starts the backoff. */
    synchronized void failed(long nowNanos) {
        isDialling = false;
        queuedFrames.clear();
        long uncapped = INITIAL_BACKOFF.toNanos() << Math.min(consecutiveFailures, MAXIMUM_BACKOFF_DOUBLINGS);
        long backoff = Math.min(uncapped, MAXIMUM_BACKOFF.toNanos());
        retryAtNanos = nowNanos + ThreadLocalRandom.current().nextLong(backoff / 2, backoff);
        consecutiveFailures++;
    }

    /** Called when the channel was closed; true if it was the active one. */
    synchronized boolean closed(Channel channel) {
        boolean isActive = activeChannel.filter(channel::equals).isPresent();
        if (isActive) {
            activeChannel = Optional.empty();
        }
        return isActive;
    }

    /** Ends the backoff, because a message from the peer shows that it is up. */
    synchronized void resetBackoff(long nowNanos) {
        if (retryAtNanos - nowNanos > 0) {
            retryAtNanos = nowNanos;
            consecutiveFailures = 0;
        }
    }

    void recordReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Closes the channel if it timed out or has been idle for too long; otherwise sends a heartbeat. */
    CheckResult check(long nowNanos, long logicalTime) {
        Optional<Channel> channel = activeChannel;
        if (channel.isEmpty()) {
            return CheckResult.CLOSED;
        }
        if (nowNanos - lastReceivedNanos > SILENCE_TIMEOUT.toNanos()) {
            Channels.close(channel.get());
            return CheckResult.SILENT;
        }
        if (nowNanos - lastSentNanos > IDLE_TIMEOUT.toNanos()) {
            Channels.close(channel.get());
            return CheckResult.IDLE;
        }
        Channels.send(channel.get(), new Envelope(logicalTime, new Heartbeat()));
        return CheckResult.LIVE;
    }

    /** Starts an attempt to connect, unless one is in progress or the connection is open. */
    void connect() {
        if (markDialling()) {
            dial.run();
        }
    }

    /** Stops using the active channel immediately, without waiting for it to close. */
    synchronized void detachChannel() {
        activeChannel = Optional.empty();
    }

    /** Detaches and closes the active channel; the next message opens a new one. */
    void reset() {
        Optional<Channel> old = activeChannel;
        detachChannel();
        old.ifPresent(Channels::close);
    }

    void close() {
        activeChannel.ifPresent(Channels::close);
    }

    private static SendResult write(Channel channel, byte[] frame, Priority priority) {
        boolean isCongested = priority == Priority.DROPPABLE
                ? !channel.isWritable()
                : channel.bytesBeforeWritable() > MAXIMUM_UNSENT_BYTES;
        if (isCongested) {
            return SendResult.CONGESTED;
        }
        Channels.send(channel, Unpooled.wrappedBuffer(frame));
        return SendResult.QUEUED;
    }

    private SendResult enqueue(byte[] frame, long nowNanos) {
        SendResult result = enqueueOrWrite(frame, nowNanos);
        if (result == SendResult.QUEUED) {
            connect();
        }
        return result;
    }

    private synchronized SendResult enqueueOrWrite(byte[] frame, long nowNanos) {
        if (activeChannel.isPresent()) {
            return write(activeChannel.get(), frame, Priority.ESSENTIAL);
        }
        if (!isDialling && nowNanos - retryAtNanos < 0) {
            return SendResult.UNREACHABLE;
        }
        if (queuedFrames.size() == MAXIMUM_QUEUED_MESSAGES) {
            return SendResult.CONGESTED;
        }
        queuedFrames.add(frame);
        return SendResult.QUEUED;
    }

    private synchronized boolean markDialling() {
        boolean shouldDial = !isDialling && activeChannel.isEmpty();
        isDialling = isDialling || shouldDial;
        return shouldDial;
    }

    /** The result of a periodic check. */
    enum CheckResult {
        CLOSED,
        LIVE,
        IDLE,
        SILENT
    }
}
