package org.cowslippick.fleet.features;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.claim.ClaimRequest;
import org.cowslippick.fleet.claim.ClaimResult;
import org.cowslippick.fleet.claim.ClaimService;
import org.cowslippick.fleet.platform.FakePlatform;

/** Steps of {@code claims.feature}. */
public final class ClaimSteps {

    private final ManualTimerService timer = new ManualTimerService();
    private final FakePlatform platform = new FakePlatform();
    private final List<ClaimResult> results = new ArrayList<>();
    private int dispatches;
    private IdempotencyKey key;

    @Given("a booking with an idempotency key")
    public void booking() {
        key = new IdempotencyKey(new OrganisationName("portalia"), "visit-1");
    }

    @When("the platform loses a response")
    public void losesAResponse() {
        platform.loseResponses(1);
    }

    @When("the platform is unavailable")
    public void unavailable() {
        platform.setUnavailable(true);
    }

    @When("it is sent to {string} and to {string}")
    public void sent(String first, String second) {
        send(first);
        send(second);
    }

    @Then("it is dispatched once")
    public void dispatchedOnce() {
        assertEquals(1, dispatches);
    }

    @Then("it is not dispatched and every caller is told that it did not run")
    public void notDispatched() {
        assertEquals(0, dispatches);
        assertTrue(results.stream()
                .allMatch(result -> result instanceof ClaimResult.Rejected rejected
                        && rejected.failure().kind().outcome() == Outcome.NOT_RUN));
    }

    private void send(String entry) {
        ClaimService claims =
                new ClaimService(new InstanceName(entry), new Incarnation(1), platform, timer, _other -> true);
        RequestId attempt = new RequestId("attempt-at-" + entry);
        ClaimResult result =
                claims.claim(new ClaimRequest(key, attempt, Optional.empty())).join();
        results.add(result);
        if (result instanceof ClaimResult.Granted && claims.markDispatched(attempt)) {
            dispatches++;
        }
    }
}
