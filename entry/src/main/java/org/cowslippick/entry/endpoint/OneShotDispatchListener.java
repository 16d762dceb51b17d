package org.cowslippick.entry.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslippick.core.error.Failure;

/** Forwards calls until the dispatch has ended or been cancelled, and drops any later call. */
final class OneShotDispatchListener implements DispatchListener {

    private final DispatchListener listener;
    private final AtomicBoolean terminated = new AtomicBoolean();

    OneShotDispatchListener(DispatchListener listener) {
        this.listener = listener;
    }

    /** Drops all further calls; returns false if the dispatch had already ended. */
    boolean terminate() {
        return terminated.compareAndSet(false, true);
    }

    boolean hasTerminated() {
        return terminated.get();
    }

    @Override
    public void tokenReceived(int offset, String text) {
        if (!terminated.get()) {
            listener.tokenReceived(offset, text);
        }
    }

    @Override
    public void completed(String body) {
        if (terminate()) {
            listener.completed(body);
        }
    }

    @Override
    public void notSent(String detail) {
        if (terminate()) {
            listener.notSent(detail);
        }
    }

    @Override
    public void refused(String detail) {
        if (terminate()) {
            listener.refused(detail);
        }
    }

    @Override
    public void failed(DispatchFault fault, Failure failure) {
        if (terminate()) {
            listener.failed(fault, failure);
        }
    }
}
