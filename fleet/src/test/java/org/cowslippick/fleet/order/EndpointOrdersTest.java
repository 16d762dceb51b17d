package org.cowslippick.fleet.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FencingSupport;
import org.cowslippick.fleet.platform.FakePlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class EndpointOrdersTest {

    private static final EndpointOrder FIRST = new EndpointOrder(OrderKind.LOAD_MODEL, "first");
    private static final EndpointOrder SECOND = new EndpointOrder(OrderKind.LOAD_MODEL, "second");

    private final ManualTimerService timer = new ManualTimerService();
    private final FakePlatform platform = new FakePlatform();
    private final EndpointOrders firstEntry = new EndpointOrders(platform, timer);
    private final EndpointOrders secondEntry = new EndpointOrders(platform, timer);

    @ParameterizedTest
    @EnumSource
    void anOrderIsConfirmedByTheEndpointsState(FencingSupport fencing) {
        FakeEndpoint endpoint = new FakeEndpoint(fencing);
        assertEquals(OrderResult.CONFIRMED, firstEntry.order(endpoint, FIRST).join());
        assertEquals(OrderResult.CONFIRMED, secondEntry.order(endpoint, SECOND).join());
        assertEquals("second", endpoint.model());
    }

    @ParameterizedTest
    @EnumSource
    void aRecordWhoseWriteResponseWasLostIsReadBack(FencingSupport fencing) {
        FakeEndpoint endpoint = new FakeEndpoint(fencing);
        platform.loseResponses(1);
        assertEquals(OrderResult.CONFIRMED, firstEntry.order(endpoint, FIRST).join());
        assertEquals(1, endpoint.sentCount());
    }

    @Test
    void noOrderIsSentWhileThePlatformIsUnavailable() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.CHECKED);
        platform.setUnavailable(true);
        assertEquals(OrderResult.NOT_SENT, firstEntry.order(endpoint, FIRST).join());
        assertEquals(0, endpoint.sentCount());
    }

    @Test
    void anEndpointThatChecksFencingRefusesADelayedOrder() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.CHECKED);
        endpoint.setDelaying(true);
        CompletableFuture<OrderResult> delayed = firstEntry.order(endpoint, FIRST);
        endpoint.setDelaying(false);
        assertEquals(OrderResult.CONFIRMED, secondEntry.order(endpoint, SECOND).join());
        endpoint.executeDelayed();
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.UNCONFIRMED, delayed.join());
        assertEquals("second", endpoint.model());
    }

    @Test
    void anEndpointThatIgnoresFencingHasOneOrderInFlight() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        endpoint.setDelaying(true);
        CompletableFuture<OrderResult> first = firstEntry.order(endpoint, FIRST);
        CompletableFuture<OrderResult> second = secondEntry.order(endpoint, SECOND);
        assertEquals(1, endpoint.sentCount());
        timer.advance(EndpointOrders.LEASE.minusMillis(1));
        assertFalse(second.isDone());
        assertEquals(1, endpoint.sentCount());
        endpoint.setDelaying(false);
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.UNCONFIRMED, first.join());
        assertEquals(OrderResult.CONFIRMED, second.join());
    }

    @Test
    void theEffectOfADelayedOrderIsRepaired() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        endpoint.setDelaying(true);
        CompletableFuture<OrderResult> first = firstEntry.order(endpoint, FIRST);
        CompletableFuture<OrderResult> second = secondEntry.order(endpoint, SECOND);
        endpoint.setDelaying(false);
        timer.advance(EndpointOrders.LEASE.multipliedBy(2));
        assertEquals(OrderResult.UNCONFIRMED, first.join());
        assertEquals(OrderResult.CONFIRMED, second.join());
        endpoint.executeDelayed();
        assertEquals("first", endpoint.model());
        assertEquals(OrderResult.CONFIRMED, secondEntry.reconcile(endpoint).join());
        assertEquals("second", endpoint.model());
    }

    @Test
    void aPendingOrderIsCompletedByReconciliation() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        endpoint.setDelaying(true);
        CompletableFuture<OrderResult> pending = firstEntry.order(endpoint, FIRST);
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.UNCONFIRMED, pending.join());
        endpoint.setDelaying(false);
        CompletableFuture<OrderResult> reconciled = secondEntry.reconcile(endpoint);
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.CONFIRMED, reconciled.join());
        assertEquals("first", endpoint.model());
    }

    @Test
    void anEntryWhoseLeaseExpiredSendsNoOrder() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        platform.holdCalls();
        CompletableFuture<OrderResult> paused = firstEntry.order(endpoint, FIRST);
        platform.releaseNextCall();
        timer.advance(EndpointOrders.LEASE);
        platform.releaseCalls();
        assertEquals(OrderResult.NOT_SENT, paused.join());
        assertEquals(0, endpoint.sentCount());
    }
}
