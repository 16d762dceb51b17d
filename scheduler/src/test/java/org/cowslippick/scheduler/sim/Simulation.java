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

/** Runs a trace through a pool and fake engines; plays the entry, which reports and cancels. */
final class Simulation implements Job.Listener {

    private static final long NETWORK_NANOS = Samples.MILLISECOND;
    private static final long TICK_NANOS = 5 * Samples.MILLISECOND;

    private final EventQueue events = new EventQueue();
    private final PoolScheduler pool;
    private final Map<EndpointName, FakeEngine> engines = new HashMap<>();
    private final Map<RequestId, Outcome> outcomes = new HashMap<>();

    /** Engines of two generations, the even ones half as fast again. */
    Simulation(PoolScheduler pool, int engineCount, int slots, int promptsPerIteration) {
        this.pool = pool;
        IntStream.range(0, engineCount)
                .forEach(number -> engines.put(
                        Samples.endpoint(number, slots).name(),
                        new FakeEngine(events, slots, promptsPerIteration, number % 2 == 0 ? 1.5 : 1.0)));
        pool.replaceEndpoints(Samples.endpoints(engineCount, slots), 0);
    }

    void slowAt(long atNanos, int engine, double factor) {
        events.at(atNanos, () -> engines.get(Samples.endpoint(engine, 1).name()).setSlowdown(factor));
    }

    Results run(List<RequestDescriptor> arrivals, long endNanos) {
        arrivals.forEach(request -> events.at(request.arrivalNanos(), () -> arrive(request)));
        tick();
        events.runUntil(endNanos);
        long computed = engines.values().stream()
                .mapToLong(FakeEngine::promptTokensComputed)
                .sum();
        return new Results(ImmutableList.copyOf(outcomes.values()), computed);
    }

    @Override
    public void firstToken(Job job) {
        Outcome outcome = outcomes.get(job.grant().request());
        if (!outcome.firstToken(job, events.nowNanos())) {
            return;
        }
        report(job, DispatchPhase.FIRST_TOKEN);
        outcome.jobs().stream().filter(other -> other != job).toList().forEach(this::cancel);
    }

    @Override
    public void finished(Job job) {
        outcomes.get(job.grant().request()).finished(job, events.nowNanos());
        report(job, DispatchPhase.FINISHED);
    }

    private void tick() {
        apply(pool.advance(events.nowNanos()));
        events.after(TICK_NANOS, this::tick);
    }

    private void arrive(RequestDescriptor request) {
        outcomes.put(request.id(), new Outcome(request));
        apply(pool.offer(request, events.nowNanos()));
        events.at(request.deadlineAtNanos(), () -> giveUp(request.id()));
    }

    private void giveUp(RequestId id) {
        Outcome outcome = outcomes.get(id);
        if (outcome.open()) {
            ImmutableList.copyOf(outcome.jobs()).forEach(this::cancel);
            apply(pool.withdraw(id, events.nowNanos()));
        }
    }

    private void apply(PoolDecisions decisions) {
        decisions.grants().forEach(grant -> events.after(NETWORK_NANOS, () -> dispatch(grant)));
        decisions.refusals().forEach(refusal -> outcomes.get(refusal.request()).refused(refusal.failure()));
    }

    private void dispatch(Grant grant) {
        Outcome outcome = outcomes.get(grant.request());
        RequestDescriptor request = outcome.request();
        Job job = new Job(
                grant, request.prefixHashes(), request.promptTokens(), request.answerTokens(), events.nowNanos(), this);
        outcome.started(job);
        if (outcome.open() && outcome.firstTokenNanos() == 0) {
            engines.get(grant.endpoint()).start(job);
        } else {
            cancel(job);
        }
    }

    private void cancel(Job job) {
        engines.get(job.grant().endpoint()).cancel(job);
        outcomes.get(job.grant().request()).cancelled(job);
        report(job, DispatchPhase.CANCELLED);
    }

    private void report(Job job, DispatchPhase phase) {
        Outcome outcome = outcomes.get(job.grant().request());
        long firstToken = job.tokens() > 0 ? outcome.firstTokenNanos() - job.startedAtNanos() : 0;
        long between = job.tokens() > 1 ? (events.nowNanos() - outcome.firstTokenNanos()) / (job.tokens() - 1) : 0;
        DispatchReport report = new DispatchReport(
                job.grant().request(), job.grant().endpoint(), phase, firstToken, between, job.tokens(), false);
        events.after(NETWORK_NANOS, () -> apply(pool.report(report, events.nowNanos())));
    }
}
