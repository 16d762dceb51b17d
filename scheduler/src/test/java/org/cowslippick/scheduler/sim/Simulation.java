package org.cowslippick.scheduler.sim;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.PoolDecisions;
import org.cowslippick.scheduler.pool.PoolScheduler;
import org.cowslippick.scheduler.pool.Samples;

/** Runs a trace through a pool and simulated engines, and simulates the entry that dispatches, reports and cancels. */
final class Simulation implements Job.Listener {

    private static final long NETWORK_NANOS = Samples.MILLISECOND;
    private static final long TICK_NANOS = 5 * Samples.MILLISECOND;

    private final EventQueue events = new EventQueue();
    private final PoolScheduler pool;
    private final Map<EndpointName, SimulatedEngine> engines = new HashMap<>();
    private final Map<RequestId, RequestOutcome> outcomes = new HashMap<>();

    /** Creates engines of two generations; engines with even numbers are 1.5 times as fast. */
    Simulation(PoolScheduler pool, int engineCount, int slots, int promptsPerIteration) {
        this.pool = pool;
        IntStream.range(0, engineCount)
                .forEach(number -> engines.put(
                        Samples.endpoint(number, slots).name(),
                        new SimulatedEngine(events, slots, promptsPerIteration, number % 2 == 0 ? 1.5 : 1.0)));
        pool.replaceEndpoints(Samples.endpoints(engineCount, slots), 0);
    }

    void setSlowdownAt(long atNanos, int engine, double factor) {
        events.scheduleAt(
                atNanos, () -> engines.get(Samples.endpoint(engine, 1).name()).setSlowdown(factor));
    }

    SimulationResults run(List<RequestDescriptor> arrivals, long endNanos) {
        arrivals.forEach(request -> events.scheduleAt(request.arrivalNanos(), () -> arrive(request)));
        tick();
        events.runUntil(endNanos);
        long processed = engines.values().stream()
                .mapToLong(SimulatedEngine::processedPromptTokens)
                .sum();
        return new SimulationResults(ImmutableList.copyOf(outcomes.values()), processed);
    }

    @Override
    public void firstToken(Job job) {
        RequestOutcome outcome = outcomes.get(job.grant().request());
        if (!outcome.recordFirstToken(job, events.nowNanos())) {
            return;
        }
        report(job, DispatchPhase.FIRST_TOKEN);
        outcome.jobs().stream().filter(other -> other != job).toList().forEach(this::cancel);
    }

    @Override
    public void finished(Job job) {
        outcomes.get(job.grant().request()).recordFinish(job, events.nowNanos());
        report(job, DispatchPhase.FINISHED);
    }

    private void tick() {
        apply(pool.advance(events.nowNanos()));
        events.scheduleAfter(TICK_NANOS, this::tick);
    }

    private void arrive(RequestDescriptor request) {
        outcomes.put(request.id(), new RequestOutcome(request));
        apply(pool.offer(request, events.nowNanos()));
        events.scheduleAt(request.deadlineAtNanos(), () -> expire(request.id()));
    }

    private void expire(RequestId id) {
        RequestOutcome outcome = outcomes.get(id);
        if (outcome.isOpen()) {
            ImmutableList.copyOf(outcome.jobs()).forEach(this::cancel);
            apply(pool.withdraw(id, events.nowNanos()));
        }
    }

    private void apply(PoolDecisions decisions) {
        decisions.grants().forEach(grant -> events.scheduleAfter(NETWORK_NANOS, () -> dispatch(grant)));
        decisions.refusals().forEach(refusal -> outcomes.get(refusal.request()).recordRefusal(refusal.failure()));
    }

    private void dispatch(Grant grant) {
        RequestOutcome outcome = outcomes.get(grant.request());
        RequestDescriptor request = outcome.request();
        Job job = new Job(
                grant, request.prefixHashes(), request.promptTokens(), request.answerTokens(), events.nowNanos(), this);
        outcome.addJob(job);
        if (outcome.isOpen() && outcome.firstTokenNanos() == 0) {
            engines.get(grant.endpoint()).start(job);
        } else {
            cancel(job);
        }
    }

    private void cancel(Job job) {
        engines.get(job.grant().endpoint()).cancel(job);
        outcomes.get(job.grant().request()).removeJob(job);
        report(job, DispatchPhase.CANCELLED);
    }

    private void report(Job job, DispatchPhase phase) {
        RequestOutcome outcome = outcomes.get(job.grant().request());
        long firstToken = job.tokens() > 0 ? outcome.firstTokenNanos() - job.startedAtNanos() : 0;
        long between = job.tokens() > 1 ? (events.nowNanos() - outcome.firstTokenNanos()) / (job.tokens() - 1) : 0;
        DispatchReport report = new DispatchReport(
                job.grant().request(), job.grant().endpoint(), phase, firstToken, between, job.tokens(), false);
        events.scheduleAfter(NETWORK_NANOS, () -> apply(pool.report(report, events.nowNanos())));
    }
}
