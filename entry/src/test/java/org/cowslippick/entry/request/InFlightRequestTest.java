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

/** Simulates the pool owner, the endpoints and the clock, and checks what the caller of a request receives. */
final class InFlightRequestTest {

    private static final String SETTINGS =
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
    private final RecordingAnswerListener answer = new RecordingAnswerListener();
    private final SettingsTree tree = SettingsTree.parse(
                    SETTINGS.replace("HASH", SettingsTree.hashCredential("secret")))
            .get();
    private final Instance self = new Instance(
            new InstanceName("entry-1"),
            new FailureDomain("west-a", new Region("west")),
            HostAndPort.fromParts("10.0.1.1", 80),
            HostAndPort.fromParts("10.0.1.1", 81));
    private final RequestManager requests = new RequestManager(
            self,
            timer,
            new Timeline(self.name(), timer, 100),
            () -> tree,
            grants,
            endpoints,
            claims,
            new RequestOutcomeRecorder(new EntryMetrics(), new OnTimeRecord(timer)),
            new RequestLimits(self.name(), timer, () -> tree, () -> 2));
    private final Admission admission =
            new Admission(self, timer, () -> tree, new TicketCodec(SigningKeys.of(ImmutableList.of("test-key"))));

    private InFlightRequest start(String service) {
        return start(service, Optional.empty());
    }

    private InFlightRequest start(String service, Optional<String> idempotencyKey) {
        CallerHeaders headers = new CallerHeaders(
                Optional.of("Bearer secret"), idempotencyKey, Optional.empty(), Optional.empty(), Optional.empty());
        return requests.start(
                admission.admit(headers, service, "{\"prompt\":\"hello\"}").get(), answer);
    }

    private void grant(InFlightRequest request, int attempt, String endpoint, Grant.Reason reason) {
        grants.listener.granted(
                new Grant(request.request().id(), self.name(), new EndpointName(endpoint), attempt, reason));
    }

    @Test
    void relaysCompleteAnswerWithReceipt() {
        InFlightRequest request = start("chat");
        timer.advance(Duration.ofMillis(20));
        grant(request, 1, "one", Grant.Reason.FIRST);
        timer.advance(Duration.ofMillis(100));
        endpoints.sent.get(0).listener.tokenReceived(0, "a");
        timer.advance(Duration.ofMillis(50));
        endpoints.sent.get(0).listener.tokenReceived(1, "b");
        endpoints.sent.get(0).listener.completed("");
        assertEquals("ab", answer.text.toString());
        assertEquals(Duration.ofMillis(20), answer.receipts.get(0).queueTime());
        assertEquals(Optional.of(Duration.ofMillis(120)), answer.receipts.get(0).timeToFirstToken());
        assertEquals(Optional.of(Duration.ofMillis(50)), answer.receipts.get(0).betweenTokens());
        assertTrue(answer.receipts.get(0).kept());
        assertEquals(List.of(DispatchPhase.FIRST_TOKEN, DispatchPhase.FINISHED), grants.phases());
        assertEquals(0, requests.inFlightCount());
    }

    @Test
    void cancelBeforeDispatchReportsNotRun() {
        start("chat").cancel();
        assertEquals(List.of(ErrorKind.CANCELLED_BEFORE_DISPATCH), answer.failures);
        assertEquals(grants.requested, grants.withdrawn);
    }

    @Test
    void cancelAfterDispatchCancelsAtEndpoint() {
        InFlightRequest request = start("chat");
        grant(request, 1, "one", Grant.Reason.FIRST);
        request.cancel();
        request.cancel();
        assertTrue(endpoints.sent.get(0).cancelled);
        assertEquals(List.of(ErrorKind.CANCELLED_AFTER_DISPATCH), answer.failures);
        assertEquals(List.of(DispatchPhase.CANCELLED), grants.phases());
    }

    @Test
    void grantAfterEndIsReportedAsCancelled() {
        InFlightRequest request = start("chat");
        request.cancel();
        grant(request, 1, "one", Grant.Reason.FIRST);
        assertTrue(endpoints.sent.isEmpty());
        assertEquals(List.of(DispatchPhase.CANCELLED), grants.phases());
        assertEquals(1, answer.terminalCallCount());
    }

    @Test
    void duplicateGrantIsNotDispatchedAgain() {
        InFlightRequest request = start("chat");
        grant(request, 1, "one", Grant.Reason.FIRST);
        grant(request, 1, "two", Grant.Reason.FIRST);
        assertEquals(1, endpoints.sent.size());
    }

    @Test
    void deadlineFailureDependsOnDispatch() {
        start("chat");
        timer.advance(Duration.ofSeconds(11));
        InFlightRequest second = start("chat");
        grant(second, 1, "one", Grant.Reason.FIRST);
        timer.advance(Duration.ofSeconds(11));
        assertEquals(
                List.of(ErrorKind.DEADLINE_PASSED_IN_QUEUE, ErrorKind.DEADLINE_PASSED_AFTER_DISPATCH), answer.failures);
        assertTrue(endpoints.sent.get(0).cancelled);
    }

    @Test
    void dispatchOnceIsNotRetriedAfterRefusal() {
        InFlightRequest request = start("chat");
        grant(request, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.refused("busy");
        assertFalse(grants.reports.get(0).retryWanted());
        assertEquals(List.of(ErrorKind.ENDPOINT_REFUSED), answer.failures);
    }

    @Test
    void runOnceIsRetriedOnlyAfterRefusal() {
        InFlightRequest request = start("booking");
        grant(request, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.refused("busy");
        assertTrue(grants.reports.get(0).retryWanted());
        grant(request, 2, "two", Grant.Reason.RETRY);
        endpoints
                .sent
                .get(1)
                .listener
                .failed(DispatchFault.CRASHED, Failure.of(ErrorKind.ENDPOINT_FAILED, "connection lost"));
        assertFalse(grants.reports.get(1).retryWanted());
        assertEquals(List.of(ErrorKind.ENDPOINT_FAILED), answer.failures);
    }

    @Test
    void refusedRetryKeepsFailureOfFirstAttempt() {
        InFlightRequest request = start("report");
        grant(request, 1, "one", Grant.Reason.FIRST);
        endpoints
                .sent
                .get(0)
                .listener
                .failed(DispatchFault.CRASHED, Failure.of(ErrorKind.ENDPOINT_FAILED, "connection lost"));
        assertTrue(grants.reports.get(0).retryWanted());
        grants.listener.refused(Failure.of(ErrorKind.NO_ENDPOINT, "no endpoint available"));
        assertEquals(List.of(ErrorKind.ENDPOINT_FAILED), answer.failures);
    }

    @Test
    void firstHedgedAttemptToAnswerWinsAndOtherIsCancelled() {
        InFlightRequest request = start("report");
        grant(request, 1, "one", Grant.Reason.FIRST);
        grant(request, 2, "two", Grant.Reason.HEDGE);
        endpoints.sent.get(1).listener.tokenReceived(0, "fast");
        endpoints.sent.get(0).listener.tokenReceived(0, "slow");
        endpoints.sent.get(1).listener.completed("");
        assertTrue(endpoints.sent.get(0).cancelled);
        assertEquals("fast", answer.text.toString());
        assertEquals(
                List.of(DispatchPhase.FIRST_TOKEN, DispatchPhase.CANCELLED, DispatchPhase.FINISHED), grants.phases());
    }

    @Test
    void requestWithKeyIsQueuedOnlyAfterClaim() {
        start("chat", Optional.of("key"));
        assertTrue(grants.requested.isEmpty());
        claims.completeClaim(new ClaimResult.Granted());
        assertEquals(1, grants.requested.size());
    }

    @Test
    void cancelDuringClaimReleasesClaim() {
        InFlightRequest request = start("chat", Optional.of("key"));
        request.cancel();
        claims.completeClaim(new ClaimResult.Granted());
        assertTrue(grants.requested.isEmpty());
        assertEquals(List.of("claim", "released"), claims.calls);
    }

    @Test
    void rejectedClaimIsNotRun() {
        start("booking", Optional.of("key"));
        claims.completeClaim(new ClaimResult.Rejected(Failure.of(ErrorKind.CLAIM_UNPROVABLE, "platform unavailable")));
        assertEquals(List.of(ErrorKind.CLAIM_UNPROVABLE), answer.failures);
        assertTrue(grants.requested.isEmpty());
    }

    @Test
    void resentRequestReceivesStoredAnswer() {
        start("booking", Optional.of("key"));
        claims.completeClaim(new ClaimResult.AlreadyClaimed(
                ClaimPhase.FINISHED, Optional.of(new StoredAnswer("text/plain", "booked"))));
        assertEquals("booked", answer.text.toString());
        assertTrue(grants.requested.isEmpty());
    }

    @Test
    void claimIsReleasedOnlyIfRequestDidNotRun() {
        InFlightRequest refused = start("chat", Optional.of("key-1"));
        claims.completeClaim(new ClaimResult.Granted());
        grant(refused, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.refused("busy");
        assertEquals(List.of("claim", "dispatched", "refused", "released"), claims.calls);
        claims.calls.clear();
        InFlightRequest failed = start("chat", Optional.of("key-2"));
        claims.completeClaim(new ClaimResult.Granted());
        grant(failed, 1, "one", Grant.Reason.FIRST);
        endpoints
                .sent
                .get(1)
                .listener
                .failed(DispatchFault.FAILED, Failure.of(ErrorKind.ENDPOINT_FAILED, "stream ended early"));
        assertEquals(List.of("claim", "dispatched"), claims.calls);
    }

    @Test
    void expiredClaimIsNotDispatched() {
        InFlightRequest request = start("chat", Optional.of("key"));
        claims.completeClaim(new ClaimResult.Granted());
        claims.dispatchAllowed = false;
        grant(request, 1, "one", Grant.Reason.FIRST);
        assertTrue(endpoints.sent.isEmpty());
        assertEquals(List.of(ErrorKind.CLAIM_UNPROVABLE), answer.failures);
    }

    @Test
    void entryEnforcesItsShareOfLimitAndReleasesItOnEnd() {
        InFlightRequest first = start("booking");
        start("booking");
        start("booking");
        assertEquals(List.of(ErrorKind.LIMIT_EXCEEDED), answer.failures);
        first.cancel();
        start("booking");
        assertEquals(List.of(ErrorKind.LIMIT_EXCEEDED, ErrorKind.CANCELLED_BEFORE_DISPATCH), answer.failures);
    }

    @Test
    void requestIsRetriedElsewhereAfterConnectFailure() {
        InFlightRequest request = start("chat", Optional.of("key"));
        claims.completeClaim(new ClaimResult.Granted());
        grant(request, 1, "one", Grant.Reason.FIRST);
        endpoints.sent.get(0).listener.notSent("no connection");
        assertTrue(grants.reports.get(0).retryWanted());
        grant(request, 2, "two", Grant.Reason.RETRY);
        assertEquals(2, endpoints.sent.size());
        assertEquals(List.of("claim", "dispatched", "refused", "dispatched"), claims.calls);
    }

    @Test
    void drainRefusesNewRequestsAndWaitsForRequestsInFlight() {
        InFlightRequest request = start("chat");
        grant(request, 1, "one", Grant.Reason.FIRST);
        requests.drain();
        start("chat");
        assertEquals(List.of(ErrorKind.ENTRY_DRAINING), answer.failures);
        assertFalse(requests.drained().isDone());
        endpoints.sent.get(0).listener.tokenReceived(0, "complete");
        endpoints.sent.get(0).listener.completed("");
        assertEquals("complete", answer.text.toString());
        assertTrue(requests.drained().isDone());
    }
}
