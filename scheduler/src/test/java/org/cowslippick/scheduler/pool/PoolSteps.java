package org.cowslippick.scheduler.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Splitter;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;

/** The steps of the features about one pool. */
public class PoolSteps {

    private PoolHarness harness;
    private String subject;

    @Given("a pool of {int} endpoints with {int} slots and a queue of {int}")
    public void pool(int endpoints, int slots, int queue) {
        PoolSettings settings = new PoolSettings(
                queue, 5 * Samples.SECOND, 32, 58 * Samples.MILLISECOND, 50 * Samples.MILLISECOND, 0.1, 0.02);
        harness = new PoolHarness(SchedulingPolicy.TIERED.create(1, settings), endpoints, slots);
    }

    @When("request {string} of tier {int} arrives")
    public void arrives(String id, int rank) {
        offer(id, rank, DispatchRule.RUN_ONCE);
    }

    @When("a {word} request {string} arrives")
    public void arrives(String rule, String id) {
        offer(id, 0, DispatchRule.valueOf(rule));
    }

    @When("request {string} finishes")
    public void finishes(String id) {
        harness.report(running(id), DispatchPhase.FINISHED);
    }

    @When("its endpoint reports it as {word}")
    public void reported(String phase) {
        harness.report(running(subject), DispatchPhase.valueOf(phase));
    }

    @When("{int} ms pass")
    public void pass(int milliseconds) {
        harness.advance(milliseconds * Samples.MILLISECOND);
    }

    @Then("request {string} is refused as {word} with a retry-after")
    public void refusedWithRetryAfter(String id, String kind) {
        Refusal refusal = refusals(id).get(0);
        assertEquals(kind, refusal.failure().kind().name());
        assertTrue(refusal.failure().retryAfter().isPresent());
    }

    @Then("it is refused as {word}")
    public void refused(String kind) {
        List<String> expected = kind.equals("nothing") ? List.of() : List.of(kind);
        assertEquals(
                expected,
                refusals(subject).stream()
                        .map(refusal -> refusal.failure().kind().name())
                        .toList());
    }

    @Then("requests {string} wait")
    public void waiting(String ids) {
        assertEquals(
                names(ids),
                harness.waiting().stream().map(request -> request.id().value()).toList());
    }

    @Then("requests are granted in the order {string}")
    public void granted(String ids) {
        assertEquals(
                names(ids),
                harness.grants().stream().map(grant -> grant.request().value()).toList());
    }

    @Then("request {string} has {int} grants")
    public void grants(String id, int count) {
        assertEquals(
                count,
                harness.grants().stream()
                        .filter(grant -> grant.request().equals(new RequestId(id)))
                        .count());
    }

    private void offer(String id, int rank, DispatchRule rule) {
        subject = id;
        harness.offer(Samples.request(id, rank, rule, harness.nowNanos()));
    }

    private Grant running(String id) {
        return harness.running().stream()
                .filter(grant -> grant.request().equals(new RequestId(id)))
                .findFirst()
                .orElseThrow();
    }

    private List<Refusal> refusals(String id) {
        return harness.refusals().stream()
                .filter(refusal -> refusal.request().equals(new RequestId(id)))
                .toList();
    }

    private static List<String> names(String ids) {
        return Splitter.on(", ").splitToList(ids);
    }
}
