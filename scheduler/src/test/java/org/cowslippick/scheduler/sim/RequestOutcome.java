package org.cowslippick.scheduler.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;

/** The outcome of one request of a trace. */
final class RequestOutcome {

    private final RequestDescriptor request;
    private final List<Job> jobs = new ArrayList<>();
    private Optional<Failure> refusal = Optional.empty();
    private long firstTokenNanos;
    private long finishedNanos;
    private int usefulPromptTokens;

    RequestOutcome(RequestDescriptor request) {
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

    /** The time of the first token; 0 if none arrived. */
    long firstTokenNanos() {
        return firstTokenNanos;
    }

    boolean isOpen() {
        return refusal.isEmpty() && finishedNanos == 0;
    }

    boolean isFinished() {
        return finishedNanos > 0;
    }

    /** Whether the first token met its target and the complete answer its deadline. */
    boolean isOnTime() {
        return isFinished()
                && firstTokenNanos <= request.firstTokenDueAtNanos()
                && finishedNanos <= request.deadlineAtNanos();
    }

    /** The prompt tokens processed by the attempt that produced the answer. */
    int usefulPromptTokens() {
        return usefulPromptTokens;
    }

    void addJob(Job job) {
        jobs.add(job);
    }

    boolean recordFirstToken(Job _job, long nowNanos) {
        if (firstTokenNanos > 0) {
            return false;
        }
        firstTokenNanos = nowNanos;
        return true;
    }

    void recordFinish(Job job, long nowNanos) {
        finishedNanos = nowNanos;
        usefulPromptTokens = job.processedPromptTokens();
        jobs.remove(job);
    }

    void removeJob(Job job) {
        jobs.remove(job);
    }

    void recordRefusal(Failure failure) {
        refusal = Optional.of(failure);
    }
}
