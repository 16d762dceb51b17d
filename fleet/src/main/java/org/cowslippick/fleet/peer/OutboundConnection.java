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
 * The connection on which this entry sends to one peer. It is opened by the first message; messages that come while it
 * opens wait in a bounded queue. After a failed attempt nothing is sent until a delay with jitter has passed.
 */
final class OutboundConnection {

    static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);
    static final Duration IDLE_LIMIT = Duration.ofSeconds(60);
    static final int MAXIMUM_WAITING_MESSAGES = 4096;
    static final long MAXIMUM_UNSENT_BYTES = 4L << 20;

    private static final Duration FIRST_DELAY = Duration.ofMillis(100);
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(1);
    private static final int MAXIMUM_DOUBLINGS = 4;

    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private final Runnable dial;
    private volatile Optional<Channel> open = Optional.empty();
    private volatile long lastReceivedNanos;
    private volatile long lastSentNanos;
    private boolean dialling;
    private int failures;
    private long notBeforeNanos;

    /** Creates a closed connection; {@code dial} starts an attempt that ends in {@link #opened} or {@link #failed}. */
    OutboundConnection(long nowNanos, Runnable dial) {
        this.notBeforeNanos = nowNanos;
        this.dial = dial;
    }

    SendResult send(byte[] frame, Priority priority, long nowNanos) {
        lastSentNanos = nowNanos;
        return open.map(channel -> write(channel, frame, priority)).orElseGet(() -> enqueue(frame, nowNanos));
    }

    /** The new channel takes over; messages that waited are sent first. */
    synchronized void opened(Channel channel, long nowNanos) {
        dialling = false;
        failures = 0;
        lastReceivedNanos = nowNanos;
        waiting.forEach(frame -> Channels.write(channel, Unpooled.wrappedBuffer(frame)));
        waiting.clear();
        channel.flush();
        open = Optional.of(channel);
    }

    /** The attempt to connect failed; what waited is lost. */
    synchronized void failed(long nowNanos) {
        dialling = false;
        waiting.clear();
        long longest = FIRST_DELAY.toNanos() << Math.min(failures, MAXIMUM_DOUBLINGS);
        long bounded = Math.min(longest, LONGEST_DELAY.toNanos());
        notBeforeNanos = nowNanos + ThreadLocalRandom.current().nextLong(bounded / 2, bounded);
        failures++;
    }

    /** The channel was closed; true if it was the one in use. */
    synchronized boolean closed(Channel channel) {
        boolean current = open.filter(channel::equals).isPresent();
        if (current) {
            open = Optional.empty();
        }
        return current;
    }

    /** The peer itself sent something, so that an attempt to connect is worth it at once. */
    synchronized void reachable(long nowNanos) {
        if (notBeforeNanos - nowNanos > 0) {
            notBeforeNanos = nowNanos;
            failures = 0;
        }
    }

    void received(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Closes the channel if it is silent or has long been unused, and asks for a heartbeat otherwise. */
    Check check(long nowNanos, long logicalTime) {
        Optional<Channel> channel = open;
        if (channel.isEmpty()) {
            return Check.CLOSED;
        }
        if (nowNanos - lastReceivedNanos > SILENCE_LIMIT.toNanos()) {
            Channels.close(channel.get());
            return Check.SILENT;
        }
        if (nowNanos - lastSentNanos > IDLE_LIMIT.toNanos()) {
            Channels.close(channel.get());
            return Check.IDLE;
        }
        Channels.send(channel.get(), new Envelope(logicalTime, new Heartbeat()));
        return Check.LIVE;
    }

    /** Starts an attempt to connect unless one runs. */
    void connect() {
        if (startDialling()) {
            dial.run();
        }
    }

    /** Stops using the channel at once, without waiting for its close. */
    synchronized void abandon() {
        open = Optional.empty();
    }

    /** Closes the channel; the next message opens another. */
    void replace() {
        Optional<Channel> old = open;
        abandon();
        old.ifPresent(Channels::close);
    }

    void close() {
        open.ifPresent(Channels::close);
    }

    private static SendResult write(Channel channel, byte[] frame, Priority priority) {
        boolean congested = priority == Priority.DROPPABLE
                ? !channel.isWritable()
                : channel.bytesBeforeWritable() > MAXIMUM_UNSENT_BYTES;
        if (congested) {
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
        if (open.isPresent()) {
            return write(open.get(), frame, Priority.ESSENTIAL);
        }
        if (!dialling && nowNanos - notBeforeNanos < 0) {
            return SendResult.UNREACHABLE;
        }
        if (waiting.size() == MAXIMUM_WAITING_MESSAGES) {
            return SendResult.CONGESTED;
        }
        waiting.add(frame);
        return SendResult.QUEUED;
    }

    private synchronized boolean startDialling() {
        boolean start = !dialling && open.isEmpty();
        dialling = dialling || start;
        return start;
    }

    /** What a periodic check found. */
    enum Check {
        CLOSED,
        LIVE,
        IDLE,
        SILENT
    }
}
