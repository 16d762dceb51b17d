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
    private final EndpointOrders oviedo = new EndpointOrders(platform, timer);
    private final EndpointOrders gijon = new EndpointOrders(platform, timer);

    @ParameterizedTest
    @EnumSource
    void anOrderIsConfirmedByTheState(FencingSupport fencing) {
        FakeEndpoint endpoint = new FakeEndpoint(fencing);
        assertEquals(OrderResult.CONFIRMED, oviedo.order(endpoint, FIRST).join());
        assertEquals(OrderResult.CONFIRMED, gijon.order(endpoint, SECOND).join());
        assertEquals("second", endpoint.model());
    }

    @ParameterizedTest
    @EnumSource
    void aLostAnswerOfTheRecordIsReadBack(FencingSupport fencing) {
        FakeEndpoint endpoint = new FakeEndpoint(fencing);
        platform.loseResponses(1);
        assertEquals(OrderResult.CONFIRMED, oviedo.order(endpoint, FIRST).join());
        assertEquals(1, endpoint.sent());
    }

    @Test
    void nothingIsSentWhileThePlatformIsAway() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.CHECKED);
        platform.setUnavailable(true);
        assertEquals(OrderResult.NOT_SENT, oviedo.order(endpoint, FIRST).join());
        assertEquals(0, endpoint.sent());
    }

    @Test
    void anEndpointThatChecksRefusesALateOrder() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.CHECKED);
        endpoint.delay(true);
        CompletableFuture<OrderResult> late = oviedo.order(endpoint, FIRST);
        endpoint.delay(false);
        assertEquals(OrderResult.CONFIRMED, gijon.order(endpoint, SECOND).join());
        endpoint.carryOutLate();
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.UNCONFIRMED, late.join());
        assertEquals("second", endpoint.model());
    }

    @Test
    void anEndpointThatIgnoresFencingHasOneOrderInFlight() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        endpoint.delay(true);
        CompletableFuture<OrderResult> first = oviedo.order(endpoint, FIRST);
        CompletableFuture<OrderResult> second = gijon.order(endpoint, SECOND);
        assertEquals(1, endpoint.sent());
        timer.advance(EndpointOrders.LEASE.minusMillis(1));
        assertFalse(second.isDone());
        assertEquals(1, endpoint.sent());
        endpoint.delay(false);
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.UNCONFIRMED, first.join());
        assertEquals(OrderResult.CONFIRMED, second.join());
    }

    @Test
    void whatALateOrderChangedIsRepaired() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        endpoint.delay(true);
        CompletableFuture<OrderResult> first = oviedo.order(endpoint, FIRST);
        CompletableFuture<OrderResult> second = gijon.order(endpoint, SECOND);
        endpoint.delay(false);
        timer.advance(EndpointOrders.LEASE.multipliedBy(2));
        assertEquals(OrderResult.UNCONFIRMED, first.join());
        assertEquals(OrderResult.CONFIRMED, second.join());
        endpoint.carryOutLate();
        assertEquals("first", endpoint.model());
        assertEquals(OrderResult.CONFIRMED, gijon.reconcile(endpoint).join());
        assertEquals("second", endpoint.model());
    }

    @Test
    void anOrderLeftPendingIsTakenUp() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        endpoint.delay(true);
        CompletableFuture<OrderResult> left = oviedo.order(endpoint, FIRST);
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.UNCONFIRMED, left.join());
        endpoint.delay(false);
        CompletableFuture<OrderResult> taken = gijon.reconcile(endpoint);
        timer.advance(EndpointOrders.LEASE);
        assertEquals(OrderResult.CONFIRMED, taken.join());
        assertEquals("first", endpoint.model());
    }

    @Test
    void aHolderWhoseLeaseIsOverSendsNothing() {
        FakeEndpoint endpoint = new FakeEndpoint(FencingSupport.IGNORED);
        platform.holdCalls();
        CompletableFuture<OrderResult> paused = oviedo.order(endpoint, FIRST);
        platform.releaseNextCall();
        timer.advance(EndpointOrders.LEASE);
        platform.releaseCalls();
        assertEquals(OrderResult.NOT_SENT, paused.join());
        assertEquals(0, endpoint.sent());
    }
}
