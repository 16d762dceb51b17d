package org.cowslippick.scheduler.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;

/** What became of one request of a trace. */
final class Outcome {

    private final RequestDescriptor request;
    private final List<Job> jobs = new ArrayList<>();
    private Optional<Failure> refusal = Optional.empty();
    private long firstTokenNanos;
    private long finishedNanos;
    private int usefulPromptTokens;

    Outcome(RequestDescriptor request) {
        this.request = request;
    }

    RequestDescriptor request() {
        return request;
    }

    List<Job> jobs() {
        return jobs;
    }

    Optional<Failure> refusal() {
        return refusal;
    }

    /** The instant of the first token; 0 if none arrived. */
    long firstTokenNanos() {
        return firstTokenNanos;
    }

    boolean open() {
        return refusal.isEmpty() && finishedNanos == 0;
    }

    boolean finished() {
        return finishedNanos > 0;
    }

    /** Whether the first token kept its promise and the whole answer its deadline. */
    boolean onTime() {
        return finished()
                && firstTokenNanos <= request.firstTokenDueAtNanos()
                && finishedNanos <= request.deadlineAtNanos();
    }

    /** Prompt tokens that were computed for the answer that arrived. */
    int usefulPromptTokens() {
        return usefulPromptTokens;
    }

    void started(Job job) {
        jobs.add(job);
    }

    boolean firstToken(Job _job, long nowNanos) {
        if (firstTokenNanos > 0) {
            return false;
        }
        firstTokenNanos = nowNanos;
        return true;
    }

    void finished(Job job, long nowNanos) {
        finishedNanos = nowNanos;
        usefulPromptTokens = job.promptComputed();
        jobs.remove(job);
    }

    void cancelled(Job job) {
        jobs.remove(job);
    }

    void refused(Failure failure) {
        refusal = Optional.of(failure);
    }
}
