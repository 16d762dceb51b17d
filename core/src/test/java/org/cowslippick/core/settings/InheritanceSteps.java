package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.stream.Collectors;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/** Step definitions for {@code inheritance.feature}. */
public final class InheritanceSteps {

    private SettingsTree tree = SettingsTree.EMPTY;

    @Given("the settings")
    public void settings(String ini) {
        tree = SettingsTree.parse(ini).get();
    }

    @When("{string} sets {word} to {word}")
    public void set(String section, String key, String value) {
        tree = SettingsTree.of(tree.document()
                        .with(
                                SectionName.parse(section).orElseThrow(),
                                SettingKey.parse(key).orElseThrow(),
                                value))
                .get();
    }

    @When("{string} removes {word}")
    public void remove(String section, String key) {
        SettingsSection changed = tree.document()
                .section(SectionName.parse(section).orElseThrow())
                .orElseThrow()
                .without(SettingKey.parse(key).orElseThrow());
        tree = SettingsTree.of(tree.document().with(changed)).get();
    }

    @Then("{word} has {word} {word} for {word} at {word}, set in {string}")
    public void resolved(String organisation, String key, String value, String service, String tier, String origin) {
        ResolvedSetting setting = tree.resolve(
                        new OrganisationName(organisation),
                        new ServiceName(service),
                        new TierName(tier),
                        SettingKey.parse(key).orElseThrow())
                .orElseThrow();
        assertEquals(value + " in " + origin, setting.value() + " in " + setting.origin());
    }

    @Then("{word} may use {string} for {word}")
    public void entitled(String organisation, String tiers, String service) {
        assertEquals(
                tiers,
                tree.entitledTiers(new OrganisationName(organisation), new ServiceName(service)).stream()
                        .map(tier -> tier.name().value())
                        .collect(Collectors.joining(", ")));
    }
}
