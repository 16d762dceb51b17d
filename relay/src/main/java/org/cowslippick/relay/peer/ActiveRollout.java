package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.ownership.RendezvousHashing;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.scheduler.rollout.RolloutBounds;
import org.cowslippick.scheduler.rollout.RolloutDecision;
import org.cowslippick.scheduler.rollout.RolloutOrder;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.cowslippick.scheduler.rollout.RolloutStage;
import org.cowslippick.scheduler.rollout.RolloutTotals;
import org.jboss.logging.Logger;

/** A roll-out on which this instance decides, or would if the decider were lost. */
// A write that fails is tried again, so its result needs no handling of failures.
@SuppressWarnings("FutureReturnValueIgnored")
final class ActiveRollout {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.rollout");
    private static final Duration PLAN_PERIOD = Duration.ofMillis(500);

    /** Three plans; afterwards their sender no longer decides. */
    private static final Duration RIVAL_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(300);
    private static final Duration WITHDRAWAL_PERIOD = Duration.ofSeconds(3);

    private final InstanceName self;
    private final RolloutBounds bounds;
    private final TimerService timer;
    private final RolloutStore store;
    private long startNanos;
    private RolloutDecision decision;
    private Optional<Long> rivalAtNanos = Optional.empty();
    private Optional<RolloutStage> written = Optional.empty();
    private boolean isWriting;
    private Optional<Long> triedAtNanos = Optional.empty();
    private boolean isDeciding;
    private long sentPosition = -1;
    private long sentAtNanos;
    private Optional<Long> withdrawnAtNanos = Optional.empty();

    ActiveRollout(
            InstanceName self,
            RolloutOrder order,
            RolloutBounds bounds,
            long startedAtMilliseconds,
            RolloutStage stage,
            TimerService timer,
            RolloutStore store) {
        this.self = self;
        this.bounds = bounds;
        this.timer = timer;
        this.store = store;
        this.startNanos = startNanos(startedAtMilliseconds);
        this.decision = newDecision(order, startedAtMilliseconds, stage);
        this.written = stage.isFinal() ? Optional.of(stage) : Optional.empty();
    }

    /** Positions of deciders do not collide, as they start at the time in milliseconds and rise by a few. */
    private RolloutDecision newDecision(RolloutOrder order, long orderId, RolloutStage stage) {
        return new RolloutDecision(
                order, bounds, orderId, startNanos, stage, timer.now().toEpochMilli());
    }

    private long startNanos(long startedAtMilliseconds) {
        long ageMilliseconds = Math.max(0, timer.now().toEpochMilli() - startedAtMilliseconds);
        return timer.nanoTime() - Duration.ofMillis(ageMilliseconds).toNanos();
    }

    /** Takes over the identity of the order from a decider that saw it later, as all instances count for that one. */
    private void adoptOrder(long orderId) {
        if (orderId > decision.orderId()) {
            startNanos = Math.min(startNanos, startNanos(orderId));
            decision = newDecision(decision.order(), orderId, decision.stage());
        }
    }

    ServiceName service() {
        return decision.order().service();
    }

    boolean isFor(RolloutOrder order) {
        return decision.order().equals(order);
    }

    boolean isDeciding() {
        return isDeciding;
    }

    /** Takes over a stage that the store holds. */
    void adopt(RolloutStatus stored) {
        adoptOrder(stored.startedAtMilliseconds());
        decision.adopt(stored.stage());
        if (stored.stage().isFinal()) {
            written = Optional.of(stored.stage());
        }
    }

    /** Stands back while an instance of a higher weight sends plans for the order. */
    void heard(InstanceName sender, RolloutPlan plan) {
        if (!plan.target().equals(decision.order().target())) {
            return;
        }
        resume(plan);
        if (weight(sender) > weight(self)) {
            rivalAtNanos = Optional.of(timer.nanoTime());
        }
    }

    /** Goes on from a plan of the order, as the store may not hold its stage; an earlier order tells nothing. */
    void resume(RolloutPlan plan) {
        if (plan.target().equals(decision.order().target()) && plan.order() >= decision.orderId()) {
            adoptOrder(plan.order());
            decision.adopt(plan.stage());
        }
    }

    private long weight(InstanceName instance) {
        return RendezvousHashing.weight(instance, "rollout/" + service().value());
    }

    void record(InstanceName instance, long incarnation, RolloutMessages.Evidence evidence) {
        if (evidence.order() == decision.orderId()) {
            decision.record(instance.value(), incarnation, evidence.totals(), evidence.position(), timer.nanoTime());
        }
    }

    /** Advances the decision, unless another instance decides. */
    void decide(ImmutableSet<String> registered, int pools) {
        long now = timer.nanoTime();
        boolean wasDeciding = isDeciding;
        isDeciding = rivalAtNanos
                .filter(heard -> now - heard < RIVAL_TIMEOUT.toNanos())
                .isEmpty();
        if (!isDeciding) {
            return;
        }
        if (!wasDeciding) {
            decision = newDecision(decision.order(), decision.orderId(), decision.stage());
            log("rollout-decider");
        }
        decision.setMembers(registered, pools);
        if (decision.advance(now)) {
            log("rollout-stage");
        }
        write(now);
    }

    /** Writes the stage if the store does not hold it yet; the completion only when all instances have confirmed. */
    private void write(long now) {
        boolean isCompletion = decision.isReadyToComplete(now);
        RolloutStage stage = isCompletion ? RolloutStage.COMPLETED : decision.stage();
        if (isWriting
                || stage == RolloutStage.WITHDRAWN
                || written.filter(stage::equals).isPresent()
                || triedAtNanos
                        .filter(tried -> now - tried < WRITE_RETRY_DELAY.toNanos())
                        .isPresent()) {
            return;
        }
        isWriting = true;
        triedAtNanos = Optional.of(now);
        RolloutTotals totals = decision.totals();
        store.write(service(), new RolloutStatus(decision.order().target(), stage, decision.orderId(), totals))
                .thenAccept(isHeld -> onWritten(stage, isHeld));
    }

    private void onWritten(RolloutStage stage, boolean isHeld) {
        isWriting = false;
        if (isHeld) {
            written = Optional.of(stage);
            if (stage == RolloutStage.COMPLETED && decision.stage() == RolloutStage.SEALED) {
                decision.recordCompleted();
                log("rollout-stage");
            }
        }
    }

    void withdraw() {
        if (withdrawnAtNanos.isEmpty()) {
            withdrawnAtNanos = Optional.of(timer.nanoTime());
            decision.withdraw();
            log("rollout-withdrawn");
        }
    }

    boolean isWithdrawalAnnounced() {
        return withdrawnAtNanos
                .filter(since -> timer.nanoTime() - since > WITHDRAWAL_PERIOD.toNanos())
                .isPresent();
    }

    /** The plan, if this instance decides and the plan has changed or is due to be repeated. */
    Optional<RolloutPlan> planToSend() {
        long now = timer.nanoTime();
        boolean isDue = sentPosition != decision.position() || now - sentAtNanos >= PLAN_PERIOD.toNanos();
        if (!isDeciding || !isDue) {
            return Optional.empty();
        }
        sentPosition = decision.position();
        sentAtNanos = now;
        return Optional.of(decision.plan());
    }

    private void log(String event) {
        RolloutTotals totals = decision.totals();
        LOGGER.info(LogLine.of(event)
                .with("service", service().value())
                .with("target", decision.order().target())
                .with("stage", decision.stage().name())
                .with("reason", decision.reason())
                .with(
                        "elapsedMs",
                        Duration.ofNanos(timer.nanoTime() - startNanos).toMillis())
                .with("requests", totals.requests())
                .with("exposure", totals.exposure())
                .with("responses", totals.targetTotal().responses())
                .with("failures", totals.targetTotal().failures())
                .with("slow", totals.targetTotal().slow())
                .with("oldRunning", totals.oldRunning()));
    }
}
