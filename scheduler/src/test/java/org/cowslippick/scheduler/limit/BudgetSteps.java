package org.cowslippick.scheduler.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.stream.IntStream;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.settings.ResolvedSetting;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Link;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.scheduler.link.LinkBudget;
import org.cowslippick.scheduler.link.LinkTransfer;
import org.cowslippick.scheduler.pool.Samples;

/** Step definitions of the limit and link features. */
public class BudgetSteps {

    private static final Region WEST = new Region("west");
    private static final Region EAST = new Region("east");
    private static final SectionName SCOPE = SectionName.organisation(new OrganisationName("portalia"));

    private List<LimitGate> gates;
    private Limits limits;
    private LinkBudget budget;
    private int running;
    private long nowNanos;

    @Given("{int} entries that share a limit of {int} concurrent requests")
    public void entries(int entries, int concurrency) {
        limits = new Limits(
                SCOPE,
                ImmutableList.of(
                        new ResolvedSetting(SettingKey.REQUESTS_AT_ONCE, Integer.toString(concurrency), SCOPE, false)));
        gates = IntStream.range(0, entries)
                .mapToObj(number -> new LimitGate(new InstanceName(Integer.toString(number)), entries))
                .toList();
    }

    @When("{int} requests arrive at entry {int}")
    public void arrive(int requests, int entry) {
        running += (int) IntStream.range(0, requests)
                .mapToObj(_number -> gates.get(entry).tryAdmit(ImmutableList.of(limits), 1, nowNanos))
                .filter(refusal -> refusal.isEmpty())
                .count();
    }

    @When("the shares are allocated")
    public void allocate() {
        ImmutableList<DemandReport> reports =
                IntStream.range(0, gates.size()).mapToObj(this::report).collect(ImmutableList.toImmutableList());
        ShareAllocator.allocate(limits, reports, 0)
                .forEach(share ->
                        gates.get(Integer.parseInt(share.entry().value())).apply(share, nowNanos));
    }

    @When("{int} ms pass without shares")
    public void pass(int milliseconds) {
        nowNanos += milliseconds * Samples.MILLISECOND;
    }

    @Then("{int} requests run")
    public void run(int expected) {
        assertEquals(expected, running);
    }

    @Given("a link of {int} bytes per second")
    public void link(int bytesPerSecond) {
        budget = new LinkBudget(ImmutableList.of(new Link(WEST, EAST, bytesPerSecond, 0.1)), 1, 0);
    }

    @When("{int} bytes of tier {int} are transferred")
    public void transfer(int bytes, int rank) {
        assertEquals(true, isAdmitted(bytes, rank, true));
    }

    @Then("a covered transfer of {int} bytes of tier {int} is admitted")
    public void coveredAdmitted(int bytes, int rank) {
        assertEquals(true, isAdmitted(bytes, rank, true));
    }

    @Then("a covered transfer of {int} bytes of tier {int} is refused")
    public void coveredRefused(int bytes, int rank) {
        assertEquals(false, isAdmitted(bytes, rank, true));
    }

    @Then("an uncovered transfer of {int} bytes of tier {int} is refused")
    public void uncoveredRefused(int bytes, int rank) {
        assertEquals(false, isAdmitted(bytes, rank, false));
    }

    private boolean isAdmitted(int bytes, int rank, boolean isCoveredByContract) {
        return budget.tryTransfer(new LinkTransfer(WEST, EAST, Samples.tier(rank), isCoveredByContract, bytes), 0)
                .isEmpty();
    }

    private DemandReport report(int entry) {
        return gates.get(entry).demand(nowNanos).stream()
                .findFirst()
                .orElseGet(() -> new DemandReport(new InstanceName(Integer.toString(entry)), SCOPE, Demand.NONE));
    }
}
