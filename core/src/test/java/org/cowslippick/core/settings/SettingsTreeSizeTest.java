package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;
import org.junit.jupiter.api.Test;

/** Tests the settings tree at its design size of 23,000 organisations. */
final class SettingsTreeSizeTest {

    private static final int ORGANISATIONS = 23_000;

    @Test
    void changeOfParentAppliesToEveryOrganisation() {
        String ini = "[tier urgent]\nrank = 0\nweight = 8\n[service chat]\npool = models\nkind = model\n"
                + "dispatch = dispatch-once\n[organisation group]\ndeadline = 9s\n"
                + IntStream.range(0, ORGANISATIONS)
                        .mapToObj(number -> "[organisation o" + number + "]\nparent = group\ncredential-sha256 = "
                                + SettingsTree.hashCredential("credential " + number) + "\n")
                        .collect(Collectors.joining());
        SettingsTree before = SettingsTree.parse(ini).get();
        SettingsTree after = SettingsTree.of(before.document()
                        .with(SectionName.organisation(new OrganisationName("group")), SettingKey.DEADLINE, "8s"))
                .get();
        assertEquals(ORGANISATIONS, inheriting(before, "9s"));
        assertEquals(ORGANISATIONS, inheriting(after, "8s"));
        assertEquals(
                "o22999", after.organisation("credential 22999").orElseThrow().value());
    }

    private static long inheriting(SettingsTree tree, String deadline) {
        return IntStream.range(0, ORGANISATIONS)
                .mapToObj(number -> tree.resolve(
                        new OrganisationName("o" + number),
                        new ServiceName("chat"),
                        new TierName("urgent"),
                        SettingKey.DEADLINE))
                .filter(setting -> setting.orElseThrow().value().equals(deadline))
                .count();
    }
}
