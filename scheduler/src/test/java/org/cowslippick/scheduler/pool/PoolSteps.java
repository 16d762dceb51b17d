package org.cowslippick.scheduler.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.stream.IntStream;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;

/** Step definitions of the features about one pool. */
public class PoolSteps {

    private PoolHarness harness;
    private String subject;

    @Given("a pool of {int} endpoints with {int} slots and a queue of {int}")
    public void pool(int endpoints, int slots, int queue) {
        PoolSettings settings = new PoolSettings(
                queue, 5 * Samples.SECOND, 32, 58 * Samples.MILLISECOND, 50 * Samples.MILLISECOND, 0.1, 0.02);
        harness = new PoolHarness(SchedulingPolicy.TIERED.create(1, settings), endpoints, slots);
    }

    @Given("{int} answers took 550 ms each")
    public void answered(int answers) {
        IntStream.range(0, answers).forEach(number -> {
            offer("answered" + number, 0, DispatchRule.RUN_ONCE);
            harness.report(running("answered" + number), DispatchPhase.FINISHED);
        });
    }

    @Given("answers whose first token took 20 ms and 0.1 ms for each prompt token")
    public void answeredByLength() {
        IntStream.range(0, 60).forEach(number -> {
            int promptTokens = 100 + number % 10 * 200;
            harness.offer(Samples.request(
                    "answered" + number,
                    0,
                    DispatchRule.RUN_ONCE,
                    harness.nowNanos(),
                    "organisation",
                    Samples.SECOND,
                    promptTokens,
                    50));
            Grant grant = running("answered" + number);
            long firstTokenNanos = 20 * Samples.MILLISECOND + promptTokens * Samples.MILLISECOND / 10;
            harness.report(new DispatchReport(
                    grant.request(),
                    grant.endpoint(),
                    DispatchPhase.FINISHED,
                    firstTokenNanos,
                    10 * Samples.MILLISECOND,
                    50,
                    false));
        });
    }

    @When("request {string} of tier {int} with a deadline of {int} ms arrives")
    public void arrivesWithDeadline(String id, int rank, int milliseconds) {
        subject = id;
        harness.offer(Samples.request(
                id,
                rank,
                DispatchRule.RUN_ONCE,
                harness.nowNanos(),
                "organisation",
                milliseconds * Samples.MILLISECOND,
                100,
                50));
    }

    @When("{int} requests of tier {int} wait")
    public void wait(int count, int rank) {
        IntStream.range(0, count).forEach(number -> offer("waiting" + number, rank, DispatchRule.RUN_ONCE));
    }

    @When("request {string} with content {int} arrives")
    public void arrivesWithContent(String id, int content) {
        harness.offer(Samples.withContent(
                Samples.request(id, 0, DispatchRule.RUN_ONCE, harness.nowNanos()), ImmutableList.of(), content));
    }

    @When("request {string} with prefix {int} arrives")
    public void arrivesWithPrefix(String id, int prefix) {
        RequestDescriptor request = Samples.request(
                id, 0, DispatchRule.RUN_ONCE, harness.nowNanos(), "organisation", 10 * Samples.SECOND, 2000, 50);
        harness.offer(Samples.withContent(request, ImmutableList.of((long) prefix), 0));
    }

    @When("request {string} crashes its endpoint")
    public void crashes(String id) {
        harness.report(running(id), DispatchPhase.CRASHED);
    }

    @When("{int} attempts fail")
    public void fail(int attempts) {
        IntStream.range(0, attempts).forEach(number -> {
            offer("failed" + number, 0, DispatchRule.DISPATCH_ONCE);
            harness.report(running("failed" + number), DispatchPhase.FAILED);
        });
    }

    @Then("{int} endpoints are ejected")
    public void ejected(int expected) {
        assertEquals(
                expected,
                harness.snapshot().endpoints().stream()
                        .filter(endpoint -> endpoint.state() == EndpointState.EJECTED)
                        .count());
    }

    @Then("requests {string} and {string} have the same endpoint")
    public void sameEndpoint(String first, String second) {
        assertEquals(grant(first).endpoint(), grant(second).endpoint());
    }

    @Then("its last grant is a {word} on another endpoint")
    public void lastGrant(String reason) {
        List<Grant> grants = harness.grants().stream()
                .filter(grant -> grant.request().equals(new RequestId(subject)))
                .toList();
        Grant last = grants.get(grants.size() - 1);
        assertEquals(reason, last.reason().name());
        assertNotEquals(grants.get(0).endpoint(), last.endpoint());
    }

    @Then("request {string} is refused as {word}")
    public void refusedAs(String id, String kind) {
        assertEquals(kind, refusals(id).get(0).failure().kind().name());
    }

    @Then("request {string} is not refused")
    public void notRefused(String id) {
        assertEquals(List.of(), refusals(id));
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

    private Grant grant(String id) {
        return harness.grants().stream()
                .filter(grant -> grant.request().equals(new RequestId(id)))
                .findFirst()
                .orElseThrow();
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
