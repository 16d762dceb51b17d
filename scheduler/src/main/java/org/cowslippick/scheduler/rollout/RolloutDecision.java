package org.cowslippick.scheduler.rollout;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides the stages of one roll-out from the evidence of the owners of pools. Each queue keeps the exposure bound by
 * itself (see {@link VersionGate}); the cutover starts so late that the bound lasts until the time limit even if the
 * target gets all requests from then on. So the bound holds for a version that turns bad at any moment.
 */
public final class RolloutDecision {

    /** Shares of the target, as fractions of the exposure that is allowed. */
    private static final double PROBE_FRACTION = 0.1;

    private static final double CANARY_FRACTION = 0.16;

    /** When the probe may end, as a fraction of the duration. */
    private static final double PROBE_END = 0.25;

    private static final int MINIMUM_RESPONSES = 10;
    private static final int MINIMUM_ROUTE_RESPONSES = 5;

    /** A route with fewer responses of the old version need not have been seen on the target. */
    private static final int RARE_ROUTE_RESPONSES = 300;

    /** Allows for arrivals above the observed rate. */
    private static final double RATE_MARGIN = 1.05;

    private static final Duration MINIMUM_CUTOVER = Duration.ofMillis(1500);

    /** Before the time limit, for writing the status and for clocks that differ. */
    private static final Duration COMPLETION_MARGIN = Duration.ofMillis(800);

    private static final Duration EVIDENCE_TIMEOUT = Duration.ofSeconds(1);

    /** For how long an instance that is no longer heard may hold back the completion. */
    private static final Duration LOST_INSTANCE_WAIT = Duration.ofSeconds(3);

    /** Longer than the period of reports, so that a request between two owners is in one of them. */
    private static final Duration QUIET_PERIOD = Duration.ofMillis(300);

    private final RolloutOrder order;
    private final RolloutBounds bounds;
    private final long orderId;
    private final long startNanos;
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, OwnerEvidence> owners = new HashMap<>();
    private RolloutTotals former = RolloutTotals.NONE;
    private final VersionComparison comparison = new VersionComparison();
    private final Set<String> members = new HashSet<>();
    private RolloutStage stage;
    private long position;
    private long quietSinceNanos;
    private boolean isQuiet;
    private int pools = 1;
    private String reason = "ordered";

    /**
     * Creates the decision at a stage that an earlier decider reached.
     *
     * @param orderId identifies the order; higher for a later order of the service
     * @param startNanos when the order was given
     * @param position above all positions of earlier deciders
     */
    public RolloutDecision(
            RolloutOrder order,
            RolloutBounds bounds,
            long orderId,
            long startNanos,
            RolloutStage stage,
            long position) {
        this.order = order;
        this.orderId = orderId;
        this.bounds = bounds;
        this.startNanos = startNanos;
        this.stage = stage;
        this.position = position;
    }

    public RolloutOrder order() {
        return order;
    }

    public long orderId() {
        return orderId;
    }

    public RolloutStage stage() {
        return stage;
    }

    /** Why the stage was entered. */
    public String reason() {
        return reason;
    }

    public long position() {
        return position;
    }

    /** Sets the instances, which all must confirm the end of the old version, and the number of pools. */
    public void setMembers(ImmutableSet<String> registered, int poolCount) {
        members.clear();
        members.addAll(registered);
        pools = Math.max(1, poolCount);
    }

    /** Records the cumulative totals of an instance and the position of the plan that it applies. */
    public void record(String instance, long incarnation, RolloutTotals totals, long applied, long nowNanos) {
        Long before = incarnations.put(instance, incarnation);
        if (before != null && before != incarnation) {
            RolloutTotals ended = owners.remove(instance).totals();
            former = former.plus(new RolloutTotals(ended.requests(), ended.exposure(), 0, ended.target(), ended.old()));
        }
        owners.computeIfAbsent(instance, _name -> new OwnerEvidence()).record(totals, applied, nowNanos);
    }

    /** The totals of all instances. */
    public RolloutTotals totals() {
        return owners.values().stream().map(OwnerEvidence::totals).reduce(former, RolloutTotals::plus);
    }

    /** The plan of the current stage. */
    public RolloutPlan plan() {
        return new RolloutPlan(
                order.service(),
                order.target(),
                orderId,
                stage,
                share(),
                bounds.exposureShare(),
                slackOfQueue(),
                position);
    }

    /** Half of the slack is left for queues that change their owner, which count from zero again. */
    private double slackOfQueue() {
        return bounds.exposureSlack() / (2 * pools);
    }

    private double share() {
        return switch (stage) {
            case PROBE -> PROBE_FRACTION * allowedShare();
            case CANARY -> CANARY_FRACTION * allowedShare();
            case CUTOVER, SEALED, COMPLETED -> 1;
            case ROLLED_BACK, WITHDRAWN -> 0;
        };
    }

    /** The share of all requests that the bounds allow, the slack included, if they arrive as before. */
    private double allowedShare() {
        double expected = requestsPerSecond() * order.duration().toNanos() / 1e9;
        return expected <= 0
                ? bounds.exposureShare()
                : Math.min(1, bounds.exposureShare() + bounds.exposureSlack() / 2 / expected);
    }

    private double requestsPerSecond() {
        return owners.values().stream()
                .mapToDouble(OwnerEvidence::requestsPerSecond)
                .sum();
    }

    /** Advances the stage if the evidence and the time require it; returns whether it changed. */
    public boolean advance(long nowNanos) {
        comparison.record(totals(), nowNanos);
        RolloutStage before = stage;
        if (!stage.isFinal()) {
            advanceRunning(nowNanos);
        }
        return before != stage;
    }

    private void advanceRunning(long nowNanos) {
        long remaining = startNanos + order.duration().toNanos() - nowNanos;
        if (stage != RolloutStage.SEALED && comparison.isBad(nowNanos)) {
            enter(RolloutStage.ROLLED_BACK, "bad");
        } else if (stage != RolloutStage.SEALED && remaining < COMPLETION_MARGIN.toNanos()) {
            enter(RolloutStage.ROLLED_BACK, "time-limit");
        } else {
            advanceSound(nowNanos, remaining);
        }
    }

    private void advanceSound(long nowNanos, long remaining) {
        switch (stage) {
            case PROBE -> {
                if (nowNanos - startNanos >= PROBE_END * order.duration().toNanos() && isGoodEnough(nowNanos)) {
                    enter(RolloutStage.CANARY, "good");
                }
            }
            case CANARY -> {
                if (remaining >= MINIMUM_CUTOVER.toNanos() && fitsUntil(remaining) && isGoodEnough(nowNanos)) {
                    enter(RolloutStage.CUTOVER, "good");
                }
            }
            case CUTOVER -> {
                if (isConfirmedQuiet(nowNanos) && !comparison.isSuspicious(nowNanos) && isWithinBoundUntil(remaining)) {
                    enter(RolloutStage.SEALED, "old-version-idle");
                }
            }
            default -> {}
        }
    }

    /** Whether the completion may be written: every instance has confirmed that it uses the target only. */
    public boolean isReadyToComplete(long nowNanos) {
        return stage == RolloutStage.SEALED && isConfirmedQuiet(nowNanos);
    }

    /** Records that the store holds the completion. */
    public void recordCompleted() {
        enter(RolloutStage.COMPLETED, "confirmed");
    }

    /** Records a stage that the store holds or another decider has reached; a final stage is never left. */
    public void adopt(RolloutStage stored) {
        if (!stage.isFinal() && stored.compareTo(stage) > 0) {
            enter(stored, "adopted");
        }
    }

    /** Ends the roll-out because its order was removed. */
    public void withdraw() {
        enter(RolloutStage.WITHDRAWN, "order-removed");
    }

    private void enter(RolloutStage next, String cause) {
        stage = next;
        reason = cause;
        position++;
        isQuiet = false;
    }

    private boolean isGoodEnough(long nowNanos) {
        RolloutTotals totals = totals();
        return totals.targetTotal().responses() >= MINIMUM_RESPONSES
                && totals.old().entrySet().stream()
                        .filter(entry -> entry.getValue().responses() >= RARE_ROUTE_RESPONSES)
                        .allMatch(entry -> totals.target()
                                        .getOrDefault(entry.getKey(), VersionCounts.NONE)
                                        .responses()
                                >= MINIMUM_ROUTE_RESPONSES)
                && !comparison.isSuspicious(nowNanos);
    }

    /** Whether each queue stays within its bound if the target gets all requests for the remaining time. */
    private boolean fitsUntil(long remainingNanos) {
        return members.stream()
                .allMatch(name -> owners.containsKey(name) && fitsUntil(owners.get(name), remainingNanos / 1e9));
    }

    private boolean fitsUntil(OwnerEvidence owner, double remainingSeconds) {
        double arriving = RATE_MARGIN * owner.requestsPerSecond() * remainingSeconds;
        double allowed = VersionGate.BOUND_MARGIN
                * (bounds.exposureShare() * (owner.totals().requests() + arriving) + slackOfQueue());
        double room = Math.max(0, allowed - owner.totals().exposure());
        return owner.isRateKnown() && arriving <= room;
    }

    /** Whether the bound lasts until the time limit at the present rate, as queues no longer keep it once sealed. */
    private boolean isWithinBoundUntil(long remainingNanos) {
        double arriving = requestsPerSecond() * remainingNanos / 1e9;
        RolloutTotals totals = totals();
        return totals.exposure() + arriving <= bounds.allowed(totals.requests() + arriving);
    }

    /** Whether all instances apply the current plan and have run nothing on the old version for a while. */
    private boolean isConfirmedQuiet(long nowNanos) {
        boolean isLostBusy = owners.entrySet().stream()
                .filter(entry -> !members.contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .anyMatch(owner -> owner.totals().oldRunning() > 0
                        && nowNanos - owner.heardAtNanos() < LOST_INSTANCE_WAIT.toNanos());
        boolean isQuietNow = !isLostBusy && members.stream().allMatch(name -> isQuiet(name, nowNanos));
        if (isQuietNow && !isQuiet) {
            quietSinceNanos = nowNanos;
        }
        isQuiet = isQuietNow;
        return isQuiet && nowNanos - quietSinceNanos >= QUIET_PERIOD.toNanos();
    }

    private boolean isQuiet(String instance, long nowNanos) {
        OwnerEvidence owner = owners.get(instance);
        return owner != null
                && owner.position() == position
                && owner.totals().oldRunning() == 0
                && nowNanos - owner.heardAtNanos() < EVIDENCE_TIMEOUT.toNanos();
    }
}
