package org.cowslippick.fleet.features;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vavr.control.Either;
import java.time.Duration;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.settings.SettingsCluster;
import org.cowslippick.fleet.settings.SettingsProposal;
import org.cowslippick.fleet.settings.SettingsRejection;

/** Steps of {@code settings.feature}. */
public final class SettingsSteps {

    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(5);
    private static final ImmutableList<InstanceName> ENTRIES =
            ImmutableList.of(new InstanceName("entry-0"), new InstanceName("entry-1"), new InstanceName("entry-2"));

    private final SettingsCluster cluster = new SettingsCluster();
    private SettingsRejection rejection;

    @Given("three entries with the deadline {string} in force")
    public void inForce(String deadline) {
        ENTRIES.forEach(entry -> cluster.start(entry, entry.equals(ENTRIES.get(0))));
        commit(0, deadline);
        cluster.advance(PROPAGATION_TIME);
    }

    @When("the deadline {string} is committed and in force")
    public void committed(String deadline) {
        commit(1, deadline);
        cluster.advance(PROPAGATION_TIME);
    }

    @When("the platform is unavailable and an entry restarts without settings")
    public void restarts() {
        cluster.platform().setUnavailable(true);
        cluster.kill(ENTRIES.get(2));
        cluster.start(ENTRIES.get(2), false);
        cluster.advance(PROPAGATION_TIME);
    }

    @When("two operators change the deadline to {string} and to {string} from the same revision")
    public void changeConcurrently(String first, String second) {
        commit(1, first);
        rejection = commit(1, second).getLeft();
        cluster.advance(PROPAGATION_TIME);
    }

    @Then("the second operator is told {string}")
    public void told(String change) {
        assertEquals(ImmutableList.of(change), rejection.conflicts());
    }

    @Then("the deadline {string} is in force at every entry")
    public void inForceEverywhere(String deadline) {
        ENTRIES.forEach(entry -> assertEquals(document(deadline), cluster.document(entry)));
    }

    private Either<SettingsRejection, Long> commit(long base, String deadline) {
        return cluster.store()
                .commit(new SettingsProposal(base, document(deadline), "operator"))
                .join();
    }

    private static SettingsDocument document(String deadline) {
        return SettingsDocument.EMPTY.with(
                SectionName.organisation(new OrganisationName("portalia")), SettingKey.DEADLINE, deadline);
    }
}
