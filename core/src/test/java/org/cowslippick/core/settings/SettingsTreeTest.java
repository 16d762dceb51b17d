package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;
import org.junit.jupiter.api.Test;

final class SettingsTreeTest {

    private static final String INI =
            """
            [tier urgent]
            rank = 0
            weight = 8
            first-token = 400ms
            [tier batch]
            rank = 1
            weight = 1
            [service chat]
            pool = models
            kind = model
            dispatch = dispatch-once
            [organisation group]
            tiers = urgent, batch
            deadline = 10s
            requests-per-second = 5
            [organisation branch]
            parent = group
            [organisation branch service chat]
            first-token = 900ms
            """;

    @Test
    void inheritsFromParentUnlessOverridden() {
        SettingsTree tree = SettingsTree.parse(INI).get();
        Contract contract = tree.contract(
                new OrganisationName("branch"),
                tree.service(new ServiceName("chat")).orElseThrow(),
                tree.tier(new TierName("urgent")).orElseThrow());
        assertEquals(Duration.ofMillis(900), contract.firstToken());
        assertEquals(Duration.ofSeconds(10), contract.deadline());
        assertEquals(Duration.ofMillis(58), contract.betweenTokens());
    }

    @Test
    void reportsTheLineOfEveryFault() {
        Either<ImmutableList<SettingsFault>, SettingsTree> tree =
                SettingsTree.parse("[tier urgent]\nrank = first\nweight = 8\n\n[teir batch]\nrank = 1\n");
        assertTrue(tree.isLeft());
        assertEquals(
                ImmutableList.of(2, 5),
                tree.getLeft().stream().map(SettingsFault::line).collect(ImmutableList.toImmutableList()));
    }
}
