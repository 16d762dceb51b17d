package org.cowslippick.entry.endpoint;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslippick.core.error.Failure;

/** Passes calls on until the dispatch ended or was cancelled, so that a late call is never delivered. */
final class SingleEnding implements DispatchListener {

    private final DispatchListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();

    SingleEnding(DispatchListener listener) {
        this.listener = listener;
    }

    /** Ends without a call; returns whether it was still open. */
    boolean end() {
        return ended.compareAndSet(false, true);
    }

    boolean ended() {
        return ended.get();
    }

    @Override
    public void token(int offset, String text) {
        if (!ended.get()) {
            listener.token(offset, text);
        }
    }

    @Override
    public void finished(String body) {
        if (end()) {
            listener.finished(body);
        }
    }

    @Override
    public void notSent(String detail) {
        if (end()) {
            listener.notSent(detail);
        }
    }

    @Override
    public void refused(String detail) {
        if (end()) {
            listener.refused(detail);
        }
    }

    @Override
    public void failed(DispatchFault fault, Failure failure) {
        if (end()) {
            listener.failed(fault, failure);
        }
    }
}
