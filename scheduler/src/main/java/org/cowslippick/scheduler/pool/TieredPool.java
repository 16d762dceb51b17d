package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.endpoint.EndpointTracker;
import org.cowslippick.scheduler.prefix.PrefixIndex;
import org.cowslippick.scheduler.quarantine.AttributedCrash;
import org.cowslippick.scheduler.quarantine.Quarantine;
import org.cowslippick.scheduler.queue.QueuedRequest;
import org.cowslippick.scheduler.queue.TieredQueue;
import org.cowslippick.scheduler.retry.RatioBudget;
import org.cowslippick.scheduler.retry.RetryBackoff;

/**
 * The policy of cowslippick: a central queue by tier, organisation and deadline, with late binding, so an endpoint is
 * chosen only when it has a free slot. docs/design/TIERS-AND-SHEDDING.md gives the reasons.
 */
public final class TieredPool implements PoolScheduler {

    private static final double MAXIMUM_BUDGET_BALANCE = 10;
    private static final int MAXIMUM_PREFIXES = 32_768;
    private static final long NO_ENDPOINT_DELAY_NANOS = 10_000_000L;

    private final PoolSettings settings;
    private final TieredQueue queue;
    private final EndpointTable endpoints;
    private final InFlightTable inFlightTable;
    private final Map<RequestId, TrackedRequest> requests = new HashMap<>();
    private final TimerSet<TrackedRequest> delayed = new TimerSet<>();
    private final PrefixIndex prefixes = new PrefixIndex(MAXIMUM_PREFIXES);
    private final Quarantine quarantine = new Quarantine();
    private final CrashAttribution crashes;
    private final DrainModel drain;
    private final Admission admission;
    private final Placement placement;
    private final RatioBudget retryBudget;
    private final RatioBudget hedgeBudget;
    private final RetryRules retryRules;
    private final RetryBackoff retryBackoff;

    /** Creates a pool without endpoints whose random draws are determined by the seed. */
    public TieredPool(long seed, PoolSettings settings) {
        this.settings = settings;
        this.queue = new TieredQueue(settings.starvationThresholdNanos(), settings.starvationDispatchInterval());
        this.endpoints = new EndpointTable(settings.betweenTokensTargetNanos(), settings.maximumPromptBacklogNanos());
        this.crashes = new CrashAttribution(quarantine);
        this.inFlightTable = new InFlightTable(endpoints, crashes);
        this.drain = new DrainModel(queue, endpoints, 1.0 / settings.starvationDispatchInterval());
        this.admission = new Admission(queue, endpoints, drain);
        this.placement = new Placement(endpoints, prefixes, crashes, admission);
        this.retryBudget = new RatioBudget(settings.retryShare(), MAXIMUM_BUDGET_BALANCE);
        this.hedgeBudget = new RatioBudget(settings.hedgeShare(), MAXIMUM_BUDGET_BALANCE);
        this.retryRules = new RetryRules(retryBudget);
        this.retryBackoff = new RetryBackoff(seed);
    }

    @Override
    public PoolDecisions offer(RequestDescriptor request, long nowNanos) {
        PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
        if (requests.containsKey(request.id())) {
            return step(decisions, nowNanos);
        }
        Optional<Failure> refusal = crashes.refusal(request, nowNanos).or(() -> admission.refusal(request, nowNanos));
        if (refusal.isPresent()) {
            decisions.refuse(request, refusal.get());
            return step(decisions, nowNanos);
        }
        requests.put(request.id(), new TrackedRequest(request));
        QueuedRequest queued = admission.toQueuedRequest(request);
        drain.recordArrival(request.tier().rank(), queued.serviceNanos(), nowNanos);
        queue.add(queued, nowNanos);
        return step(decisions, nowNanos);
    }

    @Override
    public PoolDecisions withdraw(RequestId id, long nowNanos) {
        queue.remove(id);
        Optional.ofNullable(requests.remove(id)).ifPresent(request -> {
            delayed.cancel(request);
            ImmutableList.copyOf(request.attempts()).forEach(inFlightTable::release);
        });
        return step(new PoolDecisionsBuilder(), nowNanos);
    }

    @Override
    public PoolDecisions report(DispatchReport report, long nowNanos) {
        PoolDecisionsBuilder decisions = new PoolDecisionsBuilder();
        Optional.ofNullable(requests.get(report.request()))
                .flatMap(request -> request.attemptOn(report.endpoint()))
                .ifPresent(attempt -> apply(report, attempt, decisions, nowNanos));
        return step(decisions, nowNanos);
    }

    @Override
    public PoolDecisions adopt(InFlightAttempt inFlight, long nowNanos) {
        Optional<EndpointTracker> tracker = endpoints.find(inFlight.endpoint());
        tracker.ifPresent(found -> {
            TrackedRequest request =
                    requests.computeIfAbsent(inFlight.request().id(), _id -> new TrackedRequest(inFlight.request()));
            queue.remove(inFlight.request().id());
            if (inFlight.attempt() > 1) {
                request.recordPossibleRun(ErrorKind.ENDPOINT_FAILED);
            }
            if (request.attemptOn(inFlight.endpoint()).isEmpty()) {
                inFlightTable.start(
                        request,
                        found,
                        inFlight.attempt(),
                        inFlight.request().promptTokens(),
                        inFlight.dispatchedAtNanos());
            }
        });
        return step(new PoolDecisionsBuilder(), nowNanos);
    }

    @Override
    public PoolDecisions observe(LoadReport report, long nowNanos) {
        endpoints
                .find(report.endpoint())
                .ifPresent(tracker -> endpoints.observeLoad(
                        tracker, report.running() + report.waiting(), nowNanos - report.ageNanos()));
        return step(new PoolDecisionsBuilder(), nowNanos);
    }

    @Override
    public PoolDecisions observe(CacheEvents events, long nowNanos) {
        if (events.gap()) {
            prefixes.invalidate(events.endpoint());
        }
        events.stored().forEach(prefix -> prefixes.recordStored(events.endpoint(), prefix));
        events.evicted().forEach(prefix -> prefixes.recordEvicted(events.endpoint(), prefix));
        return step(new PoolDecisionsBuilder(), nowNanos);
    }

    @Override
    public PoolDecisions replaceEndpoints(ImmutableList<Endpoint> replacement, long nowNanos) {
        endpoints.replace(replacement);
        return step(new PoolDecisionsBuilder(), nowNanos);
    }

    @Override
    public PoolDecisions advance(long nowNanos) {
        return step(new PoolDecisionsBuilder(), nowNanos);
    }

    @Override
    public ImmutableList<AttributedCrash> attributedCrashes(long nowNanos) {
        return quarantine.attributedCrashes(nowNanos);
    }

    @Override
    public void merge(ImmutableList<AttributedCrash> crashesOfOthers, long nowNanos) {
        quarantine.merge(crashesOfOthers, nowNanos);
    }

    @Override
    public PoolSnapshot snapshot(long _nowNanos) {
        return new PoolSnapshot(
                queue.size() + delayed.size(),
                endpoints.members().stream().map(TieredPool::snapshot).collect(ImmutableList.toImmutableList()));
    }

    private static EndpointSnapshot snapshot(EndpointTracker tracker) {
        return new EndpointSnapshot(
                tracker.name(),
                tracker.inFlight(),
                tracker.window(),
                Duration.ofNanos((long) tracker.firstTokenNanos(0)),
                Duration.ofNanos((long) tracker.betweenTokensNanos()),
                state(tracker));
    }

    private static EndpointState state(EndpointTracker tracker) {
        if (tracker.isEjected()) {
            return EndpointState.EJECTED;
        }
        return tracker.isSlow() ? EndpointState.SLOW : EndpointState.HEALTHY;
    }

    private PoolDecisions step(PoolDecisionsBuilder decisions, long nowNanos) {
        delayed.removeDue(nowNanos)
                .forEach(request -> queue.add(admission.toQueuedRequest(request.descriptor()), nowNanos));
        queue.removeExpired(nowNanos)
                .forEach(expired -> refuse(expired, admission.expiredFailure(expired.request(), nowNanos), decisions));
        inFlightTable.removeUnreported(nowNanos).forEach(this::end);
        inFlightTable.observeOverdue(nowNanos).forEach(attempt -> hedge(attempt, decisions, nowNanos));
        dispatch(decisions, nowNanos);
        shedOverflow(decisions, nowNanos);
        drain.recordStep(nowNanos);
        return decisions.build();
    }

    private void end(Attempt attempt) {
        inFlightTable.release(attempt);
        if (attempt.request().attempts().isEmpty()) {
            requests.remove(attempt.request().descriptor().id());
        }
    }

    /** Hedges an idempotent request whose first token is overdue on a second endpoint, unless a higher tier waits. */
    private void hedge(Attempt attempt, PoolDecisionsBuilder decisions, long nowNanos) {
        TrackedRequest request = attempt.request();
        RequestDescriptor descriptor = request.descriptor();
        boolean allowed = descriptor.dispatchRule().allowsRetryAfterStart()
                && request.attempts().size() == 1
                && !queue.hasHigherTierThan(descriptor.tier().rank());
        if (!allowed) {
            return;
        }
        placement
                .choose(request, nowNanos)
                .filter(_choice -> hedgeBudget.tryWithdraw())
                .ifPresent(choice -> grant(request, choice, Grant.Reason.HEDGE, decisions, nowNanos));
    }

    private void dispatch(PoolDecisionsBuilder decisions, long nowNanos) {
        while (endpoints.hasAvailable()) {
            Optional<QueuedRequest> next = queue.next(nowNanos);
            if (next.isEmpty()) {
                return;
            }
            place(next.get(), decisions, nowNanos);
        }
    }

    private void place(QueuedRequest queued, PoolDecisionsBuilder decisions, long nowNanos) {
        TrackedRequest request = requests.get(queued.request().id());
        Optional<Failure> quarantineRefusal = crashes.refusal(queued.request(), nowNanos);
        if (quarantineRefusal.isPresent()) {
            queue.remove(queued.request().id());
            refuse(queued, quarantineRefusal.get(), decisions);
            return;
        }
        Optional<Placement.Choice> choice =
                placement.chooseProbe(request, nowNanos).or(() -> placement.choose(request, nowNanos));
        if (choice.isEmpty()) {
            queue.remove(queued.request().id());
            delayed.schedule(request, nowNanos + NO_ENDPOINT_DELAY_NANOS);
            return;
        }
        if (!choice.get().meetsDeadline(queued.request(), nowNanos)) {
            queue.remove(queued.request().id());
            refuse(queued, admission.expiredFailure(queued.request(), nowNanos), decisions);
            return;
        }
        queue.take(queued, nowNanos);
        drain.recordDispatch(queued.serviceNanos());
        grantFromQueue(request, choice.get(), decisions, nowNanos);
    }

    private void grantFromQueue(
            TrackedRequest request, Placement.Choice choice, PoolDecisionsBuilder decisions, long nowNanos) {
        boolean first = request.attemptsStarted() == 0;
        if (first) {
            retryBudget.deposit();
            hedgeBudget.deposit();
        }
        grant(request, choice, first ? Grant.Reason.FIRST : Grant.Reason.RETRY, decisions, nowNanos);
    }

    private void grant(
            TrackedRequest request,
            Placement.Choice choice,
            Grant.Reason reason,
            PoolDecisionsBuilder decisions,
            long nowNanos) {
        RequestDescriptor descriptor = request.descriptor();
        EndpointTracker tracker = choice.tracker();
        int number = request.attemptsStarted() + 1;
        inFlightTable.start(request, tracker, number, choice.promptTokens(), nowNanos);
        prefixes.recordDispatch(tracker.name(), descriptor.prefixHashes());
        decisions.grant(new Grant(descriptor.id(), descriptor.entry(), tracker.name(), number, reason));
    }

    private void apply(DispatchReport report, Attempt attempt, PoolDecisionsBuilder decisions, long nowNanos) {
        inFlightTable.observe(report, attempt, nowNanos);
        if (report.phase() == DispatchPhase.FINISHED) {
            observeAnswer(attempt.request().descriptor(), report.answerTokens());
        }
        if (!report.phase().hasEnded()) {
            return;
        }
        TrackedRequest request = attempt.request();
        inFlightTable.release(attempt);
        if (report.phase().isFault()) {
            fail(request, report, decisions, nowNanos);
        } else if (request.attempts().isEmpty()) {
            requests.remove(request.descriptor().id());
        }
    }

    private void observeAnswer(RequestDescriptor request, int answerTokens) {
        admission.observeAnswer(request, answerTokens);
        queue.charge(request.tier().rank(), request.organisation(), answerTokens - request.answerTokens());
    }

    private void fail(TrackedRequest request, DispatchReport report, PoolDecisionsBuilder decisions, long nowNanos) {
        if (report.phase().mayHaveStarted()) {
            request.recordPossibleRun(RetryRules.kind(report.phase()));
        }
        if (!request.attempts().isEmpty()) {
            return;
        }
        if (retryRules.tryRetry(request, report)) {
            delayed.schedule(request, nowNanos + retryBackoff.nextDelayNanos(request.attemptsStarted() + 1));
            return;
        }
        requests.remove(request.descriptor().id());
        if (report.retryWanted()) {
            decisions.refuse(request.descriptor(), RetryRules.failure(request, report));
        }
    }

    private void shedOverflow(PoolDecisionsBuilder decisions, long nowNanos) {
        while (queue.size() > settings.queueCapacity()) {
            QueuedRequest candidate = queue.shedCandidate().orElseThrow();
            queue.remove(candidate.request().id());
            refuse(candidate, admission.shedFailure(candidate.request(), nowNanos), decisions);
        }
    }

    private void refuse(QueuedRequest queued, Failure failure, PoolDecisionsBuilder decisions) {
        TrackedRequest request = requests.remove(queued.request().id());
        Failure effective = new Failure(request.effectiveKind(failure.kind()), failure.detail(), failure.retryAfter());
        decisions.refuse(queued.request(), effective);
    }
}
