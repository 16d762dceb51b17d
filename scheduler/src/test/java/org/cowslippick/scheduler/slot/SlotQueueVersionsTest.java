package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.cowslippick.scheduler.rollout.RolloutStage;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.cowslippick.scheduler.stream.StreamTerms;
import org.junit.jupiter.api.Test;

/** A queue whose endpoints have two versions. */
class SlotQueueVersionsTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final InstanceName INSTANCE = new InstanceName("front-0");
    private static final long STREAM = 7;
    private static final String OLD = "1";
    private static final String TARGET = "2";
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final SlotQueue queue = new SlotQueue();
    private final List<SlotDecision> decisions = new ArrayList<>();
    private long now;
    private long number;

    private static LiveEndpoint endpoint(String id, String version, boolean isLeaving) {
        return new LiveEndpoint(
                id,
                SERVICE,
                HostAndPort.fromParts("10.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                2,
                isLeaving,
                1,
                version.equals(OLD) ? 1 : 2,
                version);
    }

    private void use(LiveEndpoint... endpoints) {
        decisions.addAll(queue.replaceEndpoints(ImmutableList.copyOf(endpoints), now));
    }

    private void useOldAndTarget() {
        queue.versions().enable(now);
        use(endpoint("old-0", OLD, false), endpoint("new-0", TARGET, false));
    }

    private void plan(RolloutStage stage, double share) {
        queue.versions().apply(new RolloutPlan(SERVICE, TARGET, 1, stage, share, 0.1, 5, 1), now);
    }

    private SlotKey offer() {
        SlotKey key = new SlotKey(INSTANCE, number++);
        long late = now + 10 * SECOND;
        decisions.addAll(queue.offer(
                new SlotRequest(
                        key, 0, 0, number, 500, 50, false, 0, 1, now, late, late, late, late, ImmutableSet.of()),
                now));
        return key;
    }

    private void offer(int count) {
        IntStream.range(0, count).forEach(_number -> offer());
    }

    private long granted(String endpoint) {
        return decisions.stream()
                .filter(decision -> decision instanceof SlotDecision.Granted granted
                        && granted.endpoint().id().equals(endpoint))
                .count();
    }

    private long refused() {
        return decisions.stream().filter(SlotDecision.Refused.class::isInstance).count();
    }

    private SlotKey offerResumption(String version) {
        SlotKey key = new SlotKey(INSTANCE, number++);
        long late = now + 10 * SECOND;
        decisions.addAll(queue.offer(
                new SlotRequest(
                        key,
                        0,
                        0,
                        number,
                        500,
                        50,
                        false,
                        0,
                        1,
                        now,
                        late,
                        late,
                        late,
                        late,
                        ImmutableSet.of(),
                        Optional.empty(),
                        ImmutableSet.of(),
                        ImmutableList.of(),
                        new StreamTerms(OptionalLong.of(STREAM), Optional.of(version))),
                now));
        return key;
    }

    /** Guards against streams that another version resumes because its endpoints are free. */
    @Test
    void resumptionWaitsForTheVersionThatBeganTheStream() {
        use(endpoint("old-0", OLD, false), endpoint("new-0", TARGET, false));
        SlotKey first = offerResumption(OLD);
        offerResumption(OLD);
        offerResumption(OLD);
        assertEquals(2, granted("old-0"));
        assertEquals(0, granted("new-0"));
        decisions.addAll(queue.recordEnd(first, AnswerOutcome.SOUND, now));
        assertEquals(3, granted("old-0"));
    }

    /** Guards against a resumption that waits behind new requests for the few endpoints of its version. */
    @Test
    void resumptionGoesBeforeNewRequests() {
        use(endpoint("old-0", OLD, false));
        SlotKey running = offer();
        offer(2);
        SlotKey resumption = offerResumption(OLD);
        decisions.addAll(queue.recordEnd(running, AnswerOutcome.SOUND, now));
        assertEquals(resumption, decisions.get(decisions.size() - 1).request().key());
    }

    /** Guards against a resumption that waits in vain, or goes to another version, once its version has left. */
    @Test
    void resumptionIsRefusedWithoutAnEndpointOfItsVersion() {
        use(endpoint("old-0", OLD, true), endpoint("new-0", TARGET, false));
        offerResumption(OLD);
        assertEquals(1, refused());
        assertEquals(0, granted("new-0"));
    }

    /** Guards against a roll-out that keeps streams of both versions from being resumed. */
    @Test
    void resumptionKeepsItsVersionDuringARollout() {
        useOldAndTarget();
        plan(RolloutStage.CANARY, 0.05);
        now += SECOND;
        plan(RolloutStage.CANARY, 0.05);
        offerResumption(TARGET);
        offerResumption(OLD);
        assertEquals(1, granted("new-0"));
        assertEquals(1, granted("old-0"));
    }

    /** Guards against streams that wait for a busy version and hide requests that another one can serve. */
    @Test
    void waitingResumptionsDoNotHideNewRequests() {
        use(endpoint("old-0", OLD, false), endpoint("new-0", TARGET, false));
        IntStream.range(0, 70).forEach(_number -> offerResumption(OLD));
        offer(2);
        assertEquals(2, granted("new-0"));
    }

    /** Guards against resumptions that wait in vain, as the roll-out allows no endpoint of their version. */
    @Test
    void resumptionThatARolloutForbidsIsRefusedAtOnce() {
        useOldAndTarget();
        plan(RolloutStage.SEALED, 1);
        offerResumption(OLD);
        assertEquals(1, refused());
        plan(RolloutStage.ROLLED_BACK, 0);
        offerResumption(TARGET);
        assertEquals(2, refused());
    }

    /** Guards against an endpoint that starts again with its name and another version while it answers. */
    @Test
    void originIsThatOfTheRunThatWasGranted() {
        use(endpoint("old-0", OLD, false));
        SlotKey key = offerResumption(OLD);
        use(endpoint("old-0", TARGET, false));
        assertEquals(Optional.of(new StreamOrigin(SERVICE, STREAM, OLD)), queue.origin(key));
    }

    @Test
    void originIsThatOfTheGrantedEndpoint() {
        use(endpoint("old-0", OLD, false));
        SlotKey key = offerResumption(OLD);
        assertEquals(Optional.of(new StreamOrigin(SERVICE, STREAM, OLD)), queue.origin(key));
        assertEquals(Optional.empty(), queue.origin(offer()));
    }

    /** Guards against a change for deployments without roll-outs. */
    @Test
    void usesAllVersionsUnlessEnabled() {
        use(endpoint("old-0", OLD, false), endpoint("new-0", TARGET, false));
        offer(4);
        assertEquals(2, granted("old-0"));
        assertEquals(2, granted("new-0"));
    }

    /** Guards against requests to a new version whose order is still under way. */
    @Test
    void holdsBackANewVersionForAMoment() {
        useOldAndTarget();
        offer(4);
        assertEquals(2, granted("old-0"));
        assertEquals(0, granted("new-0"));
        assertEquals(0, refused());
        now += 6 * SECOND;
        decisions.addAll(queue.advance(now));
        assertEquals(2, granted("new-0"));
    }

    /** Guards against streams of a version that are refused for seconds after a restart, as it counts as new. */
    @Test
    void establishedVersionIsNotHeldBack() {
        queue.versions().enable(now);
        queue.versions().addEstablished(ImmutableSet.of(OLD, TARGET));
        use(endpoint("old-0", OLD, false), endpoint("new-0", TARGET, false));
        offerResumption(TARGET);
        assertEquals(1, granted("new-0"));
    }

    /** Guards against refusals while old endpoints are free, and against use of the target without a share. */
    @Test
    void usesOldEndpointsWhileTheTargetHasNoShare() {
        useOldAndTarget();
        plan(RolloutStage.ROLLED_BACK, 0);
        now += 10 * SECOND;
        offer(2);
        assertEquals(2, granted("old-0"));
        assertEquals(0, refused());
    }

    /** Guards against a share that is exceeded, or not used. */
    @Test
    void givesTheTargetItsShare() {
        useOldAndTarget();
        plan(RolloutStage.CANARY, 0.05);
        for (int request = 0; request < 400; request++) {
            plan(RolloutStage.CANARY, 0.05);
            SlotKey key = offer();
            now += SECOND / 100;
            queue.recordAnswerStart(key, now);
            decisions.addAll(queue.recordEnd(key, AnswerOutcome.SOUND, now));
        }
        assertEquals(400, decisions.size());
        assertTrue(granted("new-0") >= 18 && granted("new-0") <= 20, granted("new-0") + " to the target");
    }

    /** Guards against use of the target when the decider has been lost. */
    @Test
    void usesNoTargetWithoutAPlanForSomeSeconds() {
        useOldAndTarget();
        plan(RolloutStage.CUTOVER, 1);
        now += 3 * SECOND;
        offer(2);
        assertEquals(2, granted("old-0"));
    }

    /** Guards against old endpoints that get requests in the end game though the target is only busy. */
    @Test
    void waitsForTheTargetOnceSealed() {
        useOldAndTarget();
        plan(RolloutStage.SEALED, 1);
        offer(3);
        assertEquals(2, granted("new-0"));
        assertEquals(0, granted("old-0"));
        assertEquals(1, queue.waitingCount());
    }

    /** Guards against exposure beyond the bound when the target should get everything. */
    @Test
    void fallsBackToTheOldVersionAtTheBound() {
        useOldAndTarget();
        plan(RolloutStage.CUTOVER, 1);
        for (int request = 0; request < 100; request++) {
            plan(RolloutStage.CUTOVER, 1);
            decisions.addAll(queue.recordEnd(offer(), AnswerOutcome.SOUND, now));
        }
        assertEquals(100, decisions.size());
        assertTrue(granted("new-0") <= 0.1 * 100 + 5, granted("new-0") + " to the target");
    }

    /** Guards against a share that overrides an endpoint's wish to leave. */
    @Test
    void leavingTargetGetsNothing() {
        queue.versions().enable(now);
        use(endpoint("old-0", OLD, false), endpoint("new-0", TARGET, true));
        plan(RolloutStage.SEALED, 1);
        offer(2);
        assertEquals(0, granted("new-0"));
        plan(RolloutStage.CUTOVER, 1);
        now += 3 * SECOND;
        decisions.addAll(queue.advance(now));
        assertEquals(2, granted("old-0"));
    }

    /** Guards against a restarted or misplaced endpoint that counts as a failure of its version. */
    @Test
    void unreachableEndpointIsNoEvidence() {
        useOldAndTarget();
        plan(RolloutStage.SEALED, 1);
        queue.recordEnd(offer(), AnswerOutcome.UNREACHABLE, now);
        assertEquals(0, queue.versions().totals().targetTotal().responses());
        queue.versions().apply(new RolloutPlan(SERVICE, TARGET, 2, RolloutStage.SEALED, 1, 0.1, 5, 9), now);
        now += 2 * SECOND - 1;
        queue.recordEnd(offer(), AnswerOutcome.BROKEN, now);
        assertEquals(1, queue.versions().totals().targetTotal().failures());
    }
}
