package org.cowslippick.fleet.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.platform.FakePlatform;
import org.cowslippick.fleet.platform.ObjectKey;
import org.junit.jupiter.api.Test;

final class ClaimServiceTest {

    private static final OrganisationName ORGANISATION = new OrganisationName("portalia");
    private static final InstanceName FIRST_ENTRY = new InstanceName("oviedo-1");
    private static final InstanceName SECOND_ENTRY = new InstanceName("gijon-1");
    private static final ClaimResult UNKNOWN = new ClaimResult.AlreadyClaimed(ClaimPhase.UNKNOWN, Optional.empty());
    private static final ClaimResult GRANTED = new ClaimResult.Granted();

    private final ManualTimerService timer = new ManualTimerService();
    private final FakePlatform platform = new FakePlatform();
    private final TicketCodec tickets = new TicketCodec(SigningKeys.of(ImmutableList.of("newest", "older")));
    private final ClaimService firstEntry = service(FIRST_ENTRY, 1);
    private final ClaimService secondEntry = service(SECOND_ENTRY, 1);

    @Test
    void onlyOneEntryIsGrantedAKey() {
        assertEquals(GRANTED, firstEntry.claim(keyed("visit", "first")).join());
        assertEquals(UNKNOWN, secondEntry.claim(keyed("visit", "second")).join());
        assertTrue(firstEntry.markDispatched(new RequestId("first")));
        assertFalse(firstEntry.markDispatched(new RequestId("first")));
        firstEntry.markFinished(
                new RequestId("first"), Optional.of(new StoredAnswer("application/json", "\"booked\"")));
        assertEquals(
                new ClaimResult.AlreadyClaimed(
                        ClaimPhase.FINISHED, Optional.of(new StoredAnswer("application/json", "\"booked\""))),
                firstEntry.claim(keyed("visit", "third")).join());
    }

    @Test
    void aReleasedKeyIsFreeAndItsAttemptIsNotDispatchedAnyMore() {
        firstEntry.claim(keyed("visit", "first")).join();
        firstEntry.release(new RequestId("first"));
        assertFalse(firstEntry.markDispatched(new RequestId("first")));
        assertEquals(GRANTED, secondEntry.claim(keyed("visit", "second")).join());
        firstEntry.release(new RequestId("first"));
        assertEquals(UNKNOWN, firstEntry.claim(keyed("visit", "third")).join());
    }

    @Test
    void aClaimWhoseResponseWasLostIsReadBack() {
        platform.loseResponses(1);
        assertEquals(GRANTED, firstEntry.claim(keyed("visit", "first")).join());
        assertEquals(UNKNOWN, secondEntry.claim(keyed("visit", "second")).join());
    }

    @Test
    void aPlatformOutageRejectsKeysButNotTickets() {
        platform.setUnavailable(true);
        ClaimResult rejected = firstEntry.claim(keyed("visit", "first")).join();
        assertEquals(
                ErrorKind.CLAIM_UNPROVABLE,
                assertInstanceOf(ClaimResult.Rejected.class, rejected).failure().kind());
        assertFalse(firstEntry.markDispatched(new RequestId("first")));
        Ticket ticket = ticket(FIRST_ENTRY, 1);
        assertEquals(
                GRANTED, firstEntry.claim(ticketed("chat", "second", ticket)).join());
        platform.setUnavailable(false);
        assertEquals(GRANTED, firstEntry.claim(keyed("visit", "third")).join());
    }

    @Test
    void aClaimInDoubtIsReleasedAfterTheOutage() {
        platform.holdCalls();
        CompletableFuture<ClaimResult> claim = firstEntry.claim(keyed("visit", "first"));
        platform.releaseNextCall();
        platform.loseResponses(1);
        platform.releaseNextCall();
        platform.setUnavailable(true);
        platform.releaseCalls();
        assertInstanceOf(ClaimResult.Rejected.class, claim.join());
        platform.setUnavailable(false);
        assertEquals(UNKNOWN, secondEntry.claim(keyed("visit", "second")).join());
        timer.advance(Duration.ofSeconds(5));
        assertEquals(GRANTED, secondEntry.claim(keyed("visit", "third")).join());
    }

    @Test
    void aPausedEntryDoesNotOverwriteALaterClaim() {
        platform.holdCalls();
        CompletableFuture<ClaimResult> paused = firstEntry.claim(keyed("visit", "first"));
        CompletableFuture<ClaimResult> next = secondEntry.claim(keyed("visit", "second"));
        platform.releaseCalls();
        assertEquals(List.of(GRANTED, UNKNOWN), List.of(paused.join(), next.join()));
    }

    @Test
    void manyKeysOfAPartitionAreCommittedInOneWrite() {
        ImmutableList<String> keys = IntStream.range(0, 100_000)
                .mapToObj(number -> "key-" + number)
                .filter(key -> identity(key).partition(PlatformClaims.PARTITIONS) == 0)
                .limit(500)
                .collect(ImmutableList.toImmutableList());
        platform.holdCalls();
        ImmutableList<CompletableFuture<ClaimResult>> results = keys.stream()
                .map(key -> firstEntry.claim(keyed(key, "attempt-" + key)))
                .collect(ImmutableList.toImmutableList());
        platform.releaseCalls();
        assertTrue(results.stream().allMatch(result -> result.join().equals(GRANTED)));
        assertEquals(3, platform.callCount());
    }

    @Test
    void aFullPartitionRejectsClaimsUntilOldOnesExpire() {
        ObjectKey partition = new ObjectKey(
                PlatformClaims.KIND, "partition-" + identity("visit").partition(PlatformClaims.PARTITIONS));
        ImmutableList<ClaimOperation> many = IntStream.range(0, 13_300)
                .mapToObj(number ->
                        new ClaimOperation(ClaimOperation.Kind.CLAIM, identity("key-" + number), RequestId.random()))
                .collect(ImmutableList.toImmutableList());
        platform.create(
                        partition,
                        PartitionCodec.write(
                                PartitionState.EMPTY.plan(many, timer.now()).next()))
                .join();
        assertInstanceOf(
                ClaimResult.Rejected.class,
                firstEntry.claim(keyed("visit", "first")).join());
        timer.advance(StoredClaim.RETENTION.plusSeconds(1));
        assertEquals(GRANTED, firstEntry.claim(keyed("visit", "second")).join());
    }

    @Test
    void aClaimIsNotDispatchedAfterTheMaximumDelay() {
        firstEntry.claim(keyed("visit", "first")).join();
        timer.advance(ClaimService.MAXIMUM_DISPATCH_DELAY);
        assertFalse(firstEntry.markDispatched(new RequestId("first")));
    }

    @Test
    void aTicketBindsToOneIncarnation() {
        Ticket ticket = tickets.read(tickets.write(ticket(FIRST_ENTRY, 1))).get();
        assertEquals(
                GRANTED, firstEntry.claim(ticketed("chat", "first", ticket)).join());
        assertEquals(
                new ClaimResult.AlreadyClaimed(ClaimPhase.CLAIMED, Optional.empty()),
                firstEntry.claim(ticketed("chat", "second", ticket)).join());
        assertEquals(
                new ClaimResult.HeldElsewhere(FIRST_ENTRY),
                secondEntry.claim(ticketed("chat", "third", ticket)).join());
        assertEquals(
                UNKNOWN,
                service(FIRST_ENTRY, 2)
                        .claim(ticketed("chat", "fourth", ticket))
                        .join());
        ClaimService alone = new ClaimService(SECOND_ENTRY, new Incarnation(1), platform, timer, _entry -> false);
        assertEquals(UNKNOWN, alone.claim(ticketed("chat", "fifth", ticket)).join());
    }

    @Test
    void anExpiredTicketIsRejectedAndEvictedClaimsHaveAnUnknownOutcome() {
        Ticket ticket = ticket(FIRST_ENTRY, 1);
        firstEntry.claim(ticketed("chat", "first", ticket)).join();
        assertTrue(firstEntry.markDispatched(new RequestId("first")));
        timer.advance(Duration.ofMinutes(6));
        assertInstanceOf(
                ClaimResult.Rejected.class,
                firstEntry.claim(ticketed("other", "second", ticket)).join());
        assertEquals(
                new ClaimResult.AlreadyClaimed(ClaimPhase.DISPATCHED, Optional.empty()),
                firstEntry.claim(ticketed("chat", "third", ticket)).join());
        timer.advance(ClaimService.RETENTION_AFTER_TICKET_EXPIRY);
        assertEquals(
                UNKNOWN, firstEntry.claim(ticketed("chat", "fourth", ticket)).join());
        assertEquals(
                UNKNOWN, firstEntry.claim(ticketed("other", "fifth", ticket)).join());
    }

    @Test
    void onlyTicketsSignedWithTheClustersKeysAreAccepted() {
        Ticket ticket = ticket(FIRST_ENTRY, 1);
        TicketCodec rotated = new TicketCodec(SigningKeys.of(ImmutableList.of("older")));
        TicketCodec foreign = new TicketCodec(SigningKeys.of(ImmutableList.of("foreign")));
        assertEquals(ticket, tickets.read(rotated.write(ticket)).get());
        assertEquals(
                ErrorKind.ALREADY_DISPATCHED,
                tickets.read(foreign.write(ticket)).getLeft().kind());
        assertEquals(
                ErrorKind.MALFORMED_REQUEST, tickets.read("nonsense").getLeft().kind());
    }

    /** The reference model is one shared table that never fails. */
    @Property(seed = "1", tries = 200)
    void agreesWithASharedTableWhileThePlatformResponds(
            @ForAll @Size(max = 60) List<@IntRange(max = 23) Integer> steps) {
        ManualTimerService clock = new ManualTimerService();
        FakePlatform shared = new FakePlatform();
        ImmutableList<ClaimService> entries = ImmutableList.of(
                new ClaimService(FIRST_ENTRY, new Incarnation(1), shared, clock, _entry -> true),
                new ClaimService(SECOND_ENTRY, new Incarnation(1), shared, clock, _entry -> true));
        Map<String, String> holders = new HashMap<>();
        for (int index = 0; index < steps.size(); index++) {
            int step = steps.get(index);
            ClaimService entry = entries.get(step % 2);
            String key = "key-" + step / 2 % 3;
            if (step < 12) {
                String attempt = step % 2 + "-" + index;
                boolean granted = entry.claim(keyed(key, attempt)).join().equals(GRANTED);
                assertEquals(holders.putIfAbsent(key, attempt) == null, granted);
            } else if (step < 18) {
                shared.loseResponses(1);
            } else if (holders.containsKey(key)) {
                String holder = holders.remove(key);
                entries.get(Integer.parseInt(holder.substring(0, 1))).release(new RequestId(holder));
            }
        }
    }

    private ClaimService service(InstanceName entry, long incarnation) {
        return new ClaimService(entry, new Incarnation(incarnation), platform, timer, _entry -> true);
    }

    private Ticket ticket(InstanceName entry, long incarnation) {
        return tickets.issue(
                entry, new Incarnation(incarnation), ORGANISATION, timer.now().plus(Duration.ofMinutes(5)));
    }

    private static ClaimIdentity identity(String key) {
        return ClaimIdentity.of(new IdempotencyKey(ORGANISATION, key));
    }

    private static ClaimRequest keyed(String key, String attempt) {
        return new ClaimRequest(new IdempotencyKey(ORGANISATION, key), new RequestId(attempt), Optional.empty());
    }

    private static ClaimRequest ticketed(String key, String attempt, Ticket ticket) {
        return new ClaimRequest(new IdempotencyKey(ORGANISATION, key), new RequestId(attempt), Optional.of(ticket));
    }
}
