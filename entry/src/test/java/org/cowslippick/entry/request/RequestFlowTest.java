package org.cowslippick.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.entry.endpoint.DispatchFault;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.fleet.claim.ClaimPhase;
import org.cowslippick.fleet.claim.ClaimResult;
import org.cowslippick.fleet.claim.SigningKeys;
import org.cowslippick.fleet.claim.StoredAnswer;
import org.cowslippick.fleet.claim.TicketCodec;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.Grant;
import org.junit.jupiter.api.Test;

/** Plays pool, endpoint and time against one request and looks at what its caller hears. */
final class RequestFlowTest {

    private static final String SITE =
            """
            [failure-domain west-a]
            region = west
            [tier urgent]
            rank = 0
            weight = 8
            deadline = 10s
            [service chat]
            pool = models
            kind = model
            dispatch = dispatch-once
            [service report]
            pool = models
            kind = model
            dispatch = idempotent
            [service booking]
            pool = models
            kind = model
            dispatch = run-once
            [endpoint one]
            pool = models
            kind = model
            failure-domain = west-a
            address = 10.0.0.1:80
            concurrency = 4
            [endpoint two]
            pool = models
            kind = model
            failure-domain = west-a
            address = 10.0.0.2:80
            concurrency = 4
            [organisation portalia]
            tiers = urgent
            credential-sha256 = HASH
            [organisation portalia service booking]
            requests-at-once = 4
            """;

    private final ManualTimerService timer = new ManualTimerService();
    private final FakeGrantClient grants = new FakeGrantClient();
    private final FakeEndpointClient endpoints = new FakeEndpointClient();
    private final FakeClaimClient claims = new FakeClaimClient();
    private final RecordingAnswer answer = new RecordingAnswer();
    private final SettingsTree tree = SettingsTree.parse(SITE.replace("HASH", SettingsTree.hashCredential("secret")))
            .get();
    private final Instance self = new Instance(
            new InstanceName("entry-1"),
            new FailureDomain("west-a", new Region("west")),
            HostAndPort.fromParts("10.0.1.1", 80),
            HostAndPort.fromParts("10.0.1.1", 81));
    private final RequestDesk desk = new RequestDesk(
            self,
            timer,
            new Timeline(self.name(), timer, 100),
            () -> tree,
            grants,
            endpoints,
            claims,
            new RequestOutcomes(new EntryMetrics(), new OnTimeRecord(timer)),
            new RequestLimits(self.name(), timer, () -> tree, () -> 2));
    private final Admission admission =
            new Admission(self, timer, () -> tree, new TicketCodec(SigningKeys.of(ImmutableList.of("test-key"))));

    private RequestFlow start(String service) {
        return start(service, Optional.empty());
    }

    private RequestFlow start(String service, Optional<String> key) {
        CallerHeaders headers = new CallerHeaders(
                Optional.of("Bearer secret"), key, Optional.empty(), Optional.empty(), Optional.empty());
        return desk.start(
                admission.admit(headers, service, "{\"prompt\":\"hello\"}").get(), answer);
    }

    private void grant(RequestFlow flow, int attempt, String endpoint, Grant.Reason reason) {
        grants.listener.granted(
                new Grant(flow.request().id(), self.name(), new EndpointName(endpoint), attempt, reason));
    }

    @Test
    void relaysTheWholeAnswerWithAReceipt() {
        RequestFlow flow = start("chat");
        timer.advance(Duration.ofMillis(20));
        grant(flow, 1, "one", Grant.Reason.FIRST);
        timer.advance(Duration.ofMillis(100));
        endpoints.sent.get(0).listener.token(0, "a");
        timer.advance(Duration.ofMillis(50));
        endpoints.sent.get(0).listener.token(1, "b");
        endpoints.sent.get(0).listener.finished("");
        assertEquals("ab", answer.text.toString());
        assertEquals(Duration.ofMillis(20), answer.receipts.get(0).queueTime());
        assertEquals(Optional.of(Duration.ofMillis(120)), answer.receipts.get(0).timeToFirstToken());
        assertEquals(Optional.of(Duration.ofMillis(50)), answer.receipts.get(0).betweenTokens());
        assertTrue(answer.receipts.get(0).kept());
        assertEquals(List.of(DispatchPhase.FIRST_TOKEN, DispatchPhase.FINISHED), grants.phases());
        assertEquals(0, desk.inFlight());
    }

    @Test
    void notRunIsSaidOnlyBeforeDispatch() {
        start("chat").cancel();
        assertEquals(List.of(ErrorKind.CANCELLED_BEFORE_DISPATCH), answer.failures);
        assertEquals(grants.requested, grants.withdrawn);
    }

    @Test
    void cancelAfterDispatchReachesTheEndpoint() {
        RequestFlow flow = start("chat");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        flow.cancel();
        flow.cancel();
        assertTrue(endpoints.sent.get(0).cancelled);
        assertEquals(List.of(ErrorKind.CANCELLED_AFTER_DISPATCH), answer.failures);
        assertEquals(List.of(DispatchPhase.CANCELLED), grants.phases());
    }

    @Test
    void aGrantAfterTheEndIsGivenBackUnused() {
        RequestFlow flow = start("chat");
        flow.cancel();
        grant(flow, 1, "one", Grant.Reason.FIRST);
        assertTrue(endpoints.sent.isEmpty());
        assertEquals(List.of(DispatchPhase.CANCELLED), grants.phases());
        assertEquals(1, answer.endings());
    }

    @Test
    void theSameAttemptIsNeverDispatchedTwice() {
        RequestFlow flow = start("chat");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        grant(flow, 1, "two", Grant.Reason.FIRST);
        assertEquals(1, endpoints.sent.size());
    }

    @Test
    void deadlineBeforeDispatchIsNotRunAndAfterItUnknown() {
        start("chat");
        timer.advance(Duration.ofSeconds(11));
        RequestFlow second = start("chat");
        grant(second, 1, "one", Grant.Reason.FIRST);
        timer.advance(Duration.ofSeconds(11));
        assertEquals(
                List.of(ErrorKind.DEADLINE_PASSED_IN_QUEUE, ErrorKind.DEADLINE_PASSED_AFTER_DISPATCH), answer.failures);
        assertTrue(endpoints.sent.get(0).cancelled);
    }

    @Test
    void aChatRefusedByItsEndpointIsNotSentAgain() {
        RequestFlow flow = start("chat");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.refused("busy");
        assertFalse(grants.reports.get(0).retryWanted());
        assertEquals(List.of(ErrorKind.ENDPOINT_REFUSED), answer.failures);
    }

    @Test
    void aBookingIsSentAgainOnlyAfterARefusal() {
        RequestFlow flow = start("booking");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.refused("busy");
        assertTrue(grants.reports.get(0).retryWanted());
        grant(flow, 2, "two", Grant.Reason.RETRY);
        endpoints
                .sent
                .get(1)
                .listener
                .failed(DispatchFault.CRASHED, Failure.of(ErrorKind.ENDPOINT_FAILED, "connection lost"));
        assertFalse(grants.reports.get(1).retryWanted());
        assertEquals(List.of(ErrorKind.ENDPOINT_FAILED), answer.failures);
    }

    @Test
    void aRetryThatIsRefusedDoesNotHideThatTheFirstMayHaveRun() {
        RequestFlow flow = start("report");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        endpoints
                .sent
                .get(0)
                .listener
                .failed(DispatchFault.CRASHED, Failure.of(ErrorKind.ENDPOINT_FAILED, "connection lost"));
        assertTrue(grants.reports.get(0).retryWanted());
        grants.listener.refused(Failure.of(ErrorKind.NO_ENDPOINT, "none left"));
        assertEquals(List.of(ErrorKind.ENDPOINT_FAILED), answer.failures);
    }

    @Test
    void theFirstOfTwoHedgedAttemptsWinsAndTheOtherIsCancelled() {
        RequestFlow flow = start("report");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        grant(flow, 2, "two", Grant.Reason.HEDGE);
        endpoints.sent.get(1).listener.token(0, "fast");
        endpoints.sent.get(0).listener.token(0, "slow");
        endpoints.sent.get(1).listener.finished("");
        assertTrue(endpoints.sent.get(0).cancelled);
        assertEquals("fast", answer.text.toString());
        assertEquals(
                List.of(DispatchPhase.FIRST_TOKEN, DispatchPhase.CANCELLED, DispatchPhase.FINISHED), grants.phases());
    }

    @Test
    void aKeyedChatIsQueuedOnlyWhenItsIdentityIsClaimed() {
        start("chat", Optional.of("key"));
        assertTrue(grants.requested.isEmpty());
        claims.answer(new ClaimResult.Granted());
        assertEquals(1, grants.requested.size());
    }

    @Test
    void aRequestCancelledWhileItsClaimIsOpenReleasesIt() {
        RequestFlow flow = start("chat", Optional.of("key"));
        flow.cancel();
        claims.answer(new ClaimResult.Granted());
        assertTrue(grants.requested.isEmpty());
        assertEquals(List.of("claim", "released"), claims.calls);
    }

    @Test
    void anUnprovableClaimIsNotRun() {
        start("booking", Optional.of("key"));
        claims.answer(new ClaimResult.Rejected(Failure.of(ErrorKind.CLAIM_UNPROVABLE, "platform away")));
        assertEquals(List.of(ErrorKind.CLAIM_UNPROVABLE), answer.failures);
        assertTrue(grants.requested.isEmpty());
    }

    @Test
    void theSecondSendingGetsTheAnswerOfTheFirst() {
        start("booking", Optional.of("key"));
        claims.answer(new ClaimResult.AlreadyClaimed(
                ClaimPhase.FINISHED, Optional.of(new StoredAnswer("text/plain", "booked"))));
        assertEquals("booked", answer.text.toString());
        assertTrue(grants.requested.isEmpty());
    }

    @Test
    void aClaimIsReleasedOnlyWhenTheRequestDidNotRun() {
        RequestFlow refused = start("chat", Optional.of("key-1"));
        claims.answer(new ClaimResult.Granted());
        grant(refused, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.refused("busy");
        assertEquals(List.of("claim", "dispatched", "refused", "released"), claims.calls);
        claims.calls.clear();
        RequestFlow failed = start("chat", Optional.of("key-2"));
        claims.answer(new ClaimResult.Granted());
        grant(failed, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(1).listener.failed(DispatchFault.FAILED, Failure.of(ErrorKind.ENDPOINT_FAILED, "broken"));
        assertEquals(List.of("claim", "dispatched"), claims.calls);
    }

    @Test
    void aClaimThatRanOutIsNotDispatched() {
        RequestFlow flow = start("chat", Optional.of("key"));
        claims.answer(new ClaimResult.Granted());
        claims.dispatchAllowed = false;
        grant(flow, 1, "one", Grant.Reason.FIRST);
        assertTrue(endpoints.sent.isEmpty());
        assertEquals(List.of(ErrorKind.CLAIM_UNPROVABLE), answer.failures);
    }

    @Test
    void anEntryAdmitsItsPartOfALimitAndEndsFreeIt() {
        RequestFlow first = start("booking");
        start("booking");
        start("booking");
        assertEquals(List.of(ErrorKind.LIMIT_EXCEEDED), answer.failures);
        first.cancel();
        start("booking");
        assertEquals(List.of(ErrorKind.LIMIT_EXCEEDED, ErrorKind.CANCELLED_BEFORE_DISPATCH), answer.failures);
    }

    @Test
    void aChatWhoseEndpointCannotBeConnectedIsSentToAnother() {
        RequestFlow flow = start("chat", Optional.of("key"));
        claims.answer(new ClaimResult.Granted());
        grant(flow, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.notSent("no connection");
        assertTrue(grants.reports.get(0).retryWanted());
        grant(flow, 2, "two", Grant.Reason.RETRY);
        assertEquals(2, endpoints.sent.size());
        assertEquals(List.of("claim", "dispatched", "refused", "dispatched"), claims.calls);
    }

    @Test
    void drainRefusesNewRequestsAndWaitsForThoseInFlight() {
        RequestFlow flow = start("chat");
        grant(flow, 1, "one", Grant.Reason.FIRST);
        desk.drain();
        start("chat");
        assertEquals(List.of(ErrorKind.ENTRY_DRAINING), answer.failures);
        assertFalse(desk.drained().isDone());
        endpoints.sent.get(0).listener.token(0, "whole");
        endpoints.sent.get(0).listener.finished("");
        assertEquals("whole", answer.text.toString());
        assertTrue(desk.drained().isDone());
    }
}
