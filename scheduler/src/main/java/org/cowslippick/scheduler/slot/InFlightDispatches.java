package org.cowslippick.scheduler.slot;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.engine.EngineMemory;

/** The requests that run on one endpoint, with the work and the memory that they take together. */
final class InFlightDispatches {

    private final Map<SlotKey, Dispatch> dispatches = new HashMap<>();
    private final EngineMemory memory = new EngineMemory();
    private double pendingWork;
    private long pendingKeptTokens;
    private int unanswered;
    private long latestAnsweredStartNanos;

    /**
     * The oldest request without a first event that was started after all that have one. An older one may have lost the
     * report of its first event, which is sent without a guarantee, so it says nothing about the endpoint.
     */
    private Optional<Dispatch> oldestUnanswered = Optional.empty();

    InFlightDispatches(long nowNanos) {
        latestAnsweredStartNanos = nowNanos - 1;
    }

    int size() {
        return dispatches.size();
    }

    boolean isEmpty() {
        return dispatches.isEmpty();
    }

    boolean hasAnyOf(InstanceName instance) {
        return dispatches.keySet().stream().anyMatch(key -> key.instance().equals(instance));
    }

    /** The number of requests that have had their first event. */
    int answering() {
        return dispatches.size() - unanswered;
    }

    /** The work of the requests without a first event. */
    double pendingWork() {
        return pendingWork;
    }

    /** The further prompt tokens of the requests without a first event that the engine is believed to keep. */
    long pendingKeptTokens() {
        return pendingKeptTokens;
    }

    /** The tokens that the requests may occupy in the memory of the engine. */
    long memoryTokens() {
        return memory.reservedTokens();
    }

    boolean hasMemoryFor(long tokens, long capacityTokens) {
        return memory.fits(tokens, capacityTokens);
    }

    /** The oldest request without a first event, if that is far beyond its prediction. */
    Optional<Dispatch> overdue(long nowNanos) {
        return oldestUnanswered.isEmpty() || oldestUnanswered.get().isOverdue(nowNanos)
                ? oldestUnanswered
                : Optional.empty();
    }

    void add(SlotKey key, Dispatch dispatch) {
        remove(key);
        dispatches.put(key, dispatch);
        memory.reserve(dispatch.memoryTokens());
        if (!dispatch.answerStarted()) {
            pendingWork += dispatch.work();
            pendingKeptTokens += dispatch.keptTokens();
            unanswered++;
            findOldestUnanswered();
        }
    }

    Optional<Dispatch> remove(SlotKey key) {
        Optional<Dispatch> removed = Optional.ofNullable(dispatches.remove(key));
        removed.ifPresent(dispatch -> {
            memory.free(dispatch.memoryTokens());
            if (!dispatch.answerStarted()) {
                answered(dispatch);
                findOldestUnanswered();
            }
        });
        return removed;
    }

    /** Records the first event; returns the request unless it is unknown or had one already. */
    Optional<Dispatch> startAnswer(SlotKey key, long nowNanos) {
        Optional<Dispatch> started = Optional.ofNullable(dispatches.get(key)).filter(found -> !found.answerStarted());
        started.ifPresent(dispatch -> {
            dispatches.put(key, dispatch.withAnswerStart(nowNanos));
            answered(dispatch);
            if (dispatch.startedAtNanos() - latestAnsweredStartNanos > 0) {
                latestAnsweredStartNanos = dispatch.startedAtNanos();
            }
            findOldestUnanswered();
        });
        return started;
    }

    /** Without unanswered requests the sum is exactly 0, whatever was lost in adding and subtracting. */
    private void answered(Dispatch dispatch) {
        unanswered--;
        pendingKeptTokens -= dispatch.keptTokens();
        pendingWork = unanswered == 0 ? 0 : Math.max(0, pendingWork - dispatch.work());
    }

    private void findOldestUnanswered() {
        oldestUnanswered = dispatches.values().stream()
                .filter(dispatch ->
                        !dispatch.answerStarted() && dispatch.startedAtNanos() - latestAnsweredStartNanos > 0)
                .min(Comparator.comparingLong(Dispatch::startedAtNanos));
    }
}
