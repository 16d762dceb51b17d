package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class SettingsValidatorTest {

    private static final String HASH = SettingsTree.hashCredential("credential");

    @Test
    void reportsEveryConflictAndUnresolvedReferenceWithItsLine() {
        String ini = "[tier urgent]\nrank = 0\nweight = 1\n"
                + "[tier other]\nweight = 1\nrank = 0\n"
                + "[endpoint e]\npool = p\nkind = model\nfailure-domain = nowhere\naddress = h:1\nconcurrency = 1\n"
                + "[organisation a]\nparent = b\ntiers = urgent, gold\ncredential-sha256 = " + HASH + "\n"
                + "[organisation b]\nparent = a\ncredential-sha256 = " + HASH + "\n"
                + "[organisation a service chat]\n";
        assertEquals(
                ImmutableList.of(
                        "line 2: [tier urgent] rank: another tier has the same rank",
                        "line 6: [tier other] rank: another tier has the same rank",
                        "line 10: [endpoint e] failure-domain: there is no [failure-domain nowhere]",
                        "line 14: [organisation a] parent: the parents form a cycle",
                        "line 15: [organisation a] tiers: there is no [tier gold]",
                        "line 16: [organisation a] credential-sha256: another organisation has the same credential",
                        "line 18: [organisation b] parent: the parents form a cycle",
                        "line 19: [organisation b] credential-sha256: another organisation has the same credential",
                        "line 20: [organisation a service chat]: there is no [service chat]"),
                SettingsTree.parse(ini).getLeft().stream()
                        .sorted((left, right) -> Integer.compare(left.line(), right.line()))
                        .map(SettingsFault::toString)
                        .collect(ImmutableList.toImmutableList()));
    }

    @Test
    void rejectsParentChainsAboveTheMaximumDepth() {
        assertTrue(SettingsTree.parse(chain(Inheritance.MAXIMUM_PARENTS)).isRight());
        assertEquals(
                ImmutableList.of("there are more than 16 levels of parents"),
                SettingsTree.parse(chain(Inheritance.MAXIMUM_PARENTS + 1)).getLeft().stream()
                        .map(SettingsFault::problem)
                        .collect(ImmutableList.toImmutableList()));
    }

    @Test
    void rejectsKeysInSectionsThatLookupsSkip() {
        assertEquals(
                ImmutableList.of(4, 5),
                SettingsTree.parse("[tier urgent]\nrank = 0\nweight = 1\ntiers = urgent\nrequests-at-once = 3\n")
                        .getLeft()
                        .stream()
                        .map(SettingsFault::line)
                        .collect(ImmutableList.toImmutableList()));
    }

    private static String chain(int parents) {
        return "[organisation o0]\n"
                + IntStream.rangeClosed(1, parents)
                        .mapToObj(level -> "[organisation o" + level + "]\nparent = o" + (level - 1) + "\n")
                        .collect(Collectors.joining());
    }
}
