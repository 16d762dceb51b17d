package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

/** Who is refused when the queue is full, and whether a caller that returns finds room. */
class FullQueueTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long HOUR = Duration.ofHours(1).toNanos();

    private long lastNumber;

    /** A full queue refused the newcomer, also one of a higher rank than all that waited. */
    @Property(tries = 20, seed = "4716")
    void noRequestOfAHigherRankIsRefusedForAFullQueueWhileOneOfALowerRankWaits(@ForAll long seed) {
        Random random = new Random(seed);
        SlotQueue queue = queue();
        Map<SlotKey, SlotRequest> waiting = new HashMap<>();
        for (int step = 0; step < SlotQueue.MAXIMUM_WAITING + 300; step++) {
            SlotRequest offered = request(random.nextInt(3), random.nextInt(3), "org-" + random.nextInt(5), step, HOUR);
            waiting.put(offered.key(), offered);
            for (SlotDecision decision : queue.offer(offered, step)) {
                SlotRequest decided = waiting.remove(decision.request().key());
                if (decision instanceof SlotDecision.Refused) {
                    assertTrue(
                            waiting.values().stream().allMatch(other -> compareUrgency(other, decided) <= 0),
                            () -> decided + " was refused although a less urgent request waits");
                }
            }
            assertTrue(queue.waitingCount() <= SlotQueue.MAXIMUM_WAITING);
        }
        assertEquals(SlotQueue.MAXIMUM_WAITING, queue.waitingCount());
        assertEquals(SlotQueue.MAXIMUM_WAITING, waiting.size());
    }

    private static int compareUrgency(SlotRequest one, SlotRequest other) {
        return one.rank() == other.rank()
                ? Integer.compare(one.routeRank(), other.routeRank())
                : Integer.compare(one.rank(), other.rank());
    }

    @Test
    void fullQueueRefusesTheNewcomerIfOnlyOneOrganisationWaits() {
        SlotQueue queue = fullQueue("one");
        SlotRequest newcomer = request(0, 0, "one", 1, HOUR);
        assertEquals(newcomer, queue.offer(newcomer, 1).get(0).request());
    }

    /** One organisation that fills the queue must not shut all others out. */
    @Test
    void fullQueueGivesUpARequestOfTheOrganisationWithTheMostWork() {
        SlotQueue queue = fullQueue("one");
        ImmutableList<SlotDecision> decisions = queue.offer(request(0, 0, "other", 1, HOUR), 1);
        assertEquals(1, decisions.size());
        assertEquals(
                Optional.of(new OrganisationName("one")),
                decisions.get(0).request().organisation());
        assertEquals(SlotQueue.MAXIMUM_WAITING, queue.waitingCount());
    }

    @Test
    void callerThatReturnsAtTheNamedTimeIsNotRefusedForAFullQueue() {
        SlotQueue queue = fullQueue("one");
        SlotRequest first = request(0, 0, "one", 1, HOUR);
        SlotDecision.Refused refusal =
                (SlotDecision.Refused) queue.offer(first, 1).get(0);
        long returnAt = 1 + refusal.retryAfterNanos();
        SlotRequest returned = again(first, returnAt);
        assertTrue(queue.offer(returned, returnAt).stream()
                .noneMatch(decision -> decision.request().key().equals(returned.key())));
    }

    /** A caller that retries at once must not gain a place from that. */
    @Test
    void callerThatReturnsClearlyEarlierHasNoPrecedence() {
        SlotQueue queue = fullQueue("one");
        SlotRequest first = request(0, 0, "one", 1, HOUR);
        SlotDecision.Refused refusal =
                (SlotDecision.Refused) queue.offer(first, 1).get(0);
        long early = 1 + refusal.retryAfterNanos() / 2;
        SlotRequest returned = again(first, early);
        assertEquals(
                returned.key(), queue.offer(returned, early).get(0).request().key());
    }

    @Test
    void delayIsAtMostAThirdOfTheTimeThatTheCallerHasLeft() {
        SlotQueue queue = fullQueue("one");
        SlotDecision.Refused refusal = (SlotDecision.Refused)
                queue.offer(request(0, 0, "one", 1, 900 * MILLISECOND), 1).get(0);
        assertTrue(refusal.retryAfterNanos() <= 300 * MILLISECOND);
        assertTrue(refusal.retryAfterNanos() > 200 * MILLISECOND);
    }

    /** A request that had waited in vain was a stranger when its caller came back. */
    @Test
    void callerOfAnExpiredRequestKeepsItsPlaceAlsoAfterItFoundNoEndpoint() {
        SlotQueue queue = queue();
        SlotRequest expiring = request(0, 0, "one", 0, HOUR, 300 * MILLISECOND);
        queue.offer(expiring, 0);
        SlotDecision.Refused expired =
                (SlotDecision.Refused) queue.advance(300 * MILLISECOND).get(0);
        long firstReturn = 300 * MILLISECOND + expired.retryAfterNanos();
        queue.replaceEndpoints(ImmutableList.of(), firstReturn);
        SlotDecision.Refused without = (SlotDecision.Refused)
                queue.offer(again(expiring, firstReturn), firstReturn).get(0);
        assertEquals(SlotDecision.Reason.NO_ENDPOINT, without.reason());
        long secondReturn = firstReturn + without.retryAfterNanos();
        queue.replaceEndpoints(ImmutableList.of(endpoint()), secondReturn);
        SlotRequest running = request(0, 0, "one", secondReturn, HOUR);
        queue.offer(running, secondReturn);
        queue.offer(request(0, 0, "one", secondReturn, HOUR), secondReturn);
        SlotRequest returned = again(expiring, secondReturn);
        queue.offer(returned, secondReturn);
        assertEquals(
                returned.key(),
                queue.recordEnd(running.key(), AnswerOutcome.SOUND, secondReturn + 1)
                        .get(0)
                        .request()
                        .key());
    }

    /** A queue with one endpoint, whose only slot is taken. */
    private SlotQueue queue() {
        SlotQueue queue = new SlotQueue();
        queue.replaceEndpoints(ImmutableList.of(endpoint()), 0);
        queue.offer(request(0, 0, "running", 0, 10 * HOUR), 0);
        return queue;
    }

    private SlotQueue fullQueue(String organisation) {
        SlotQueue queue = queue();
        for (int number = 0; number < SlotQueue.MAXIMUM_WAITING; number++) {
            queue.offer(request(0, 0, organisation, 0, HOUR), 0);
        }
        return queue;
    }

    private static LiveEndpoint endpoint() {
        return new LiveEndpoint(
                "engine-0",
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                1,
                false,
                1);
    }

    private SlotRequest request(int rank, int routeRank, String organisation, long nowNanos, long expiresAtNanos) {
        return request(rank, routeRank, organisation, nowNanos, expiresAtNanos, expiresAtNanos);
    }

    private SlotRequest request(
            int rank, int routeRank, String organisation, long nowNanos, long expiresAtNanos, long queueDeadlineNanos) {
        lastNumber++;
        return new SlotRequest(
                new SlotKey(INSTANCE, lastNumber),
                rank,
                routeRank,
                lastNumber,
                100,
                50,
                false,
                0,
                6,
                nowNanos,
                expiresAtNanos,
                queueDeadlineNanos,
                expiresAtNanos,
                expiresAtNanos,
                ImmutableSet.of(),
                Optional.of(new OrganisationName(organisation)),
                ImmutableSet.of());
    }

    /** The next attempt of the caller, which cannot be on time on its own. */
    private SlotRequest again(SlotRequest first, long nowNanos) {
        lastNumber++;
        return new SlotRequest(
                new SlotKey(INSTANCE, lastNumber),
                first.rank(),
                first.routeRank(),
                first.fingerprint(),
                first.promptTokens(),
                first.answerTokens(),
                false,
                first.maximumPauseNanos(),
                first.tokensPerEvent(),
                nowNanos,
                nowNanos,
                nowNanos,
                first.expiresAtNanos(),
                first.expiresAtNanos(),
                ImmutableSet.of(),
                first.organisation(),
                ImmutableSet.of());
    }
}
