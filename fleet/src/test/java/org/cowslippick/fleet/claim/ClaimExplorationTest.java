package org.cowslippick.fleet.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ClaimExplorationTest {

    @Test
    void noInterleavingRunsTwiceOrRunsAfterNotRunWasReported(TestReporter reporter) {
        ClaimModel.Exploration exploration = new ClaimModel(ClaimModel.Variant.CORRECT).explore();
        reporter.publishEntry("states", Integer.toString(exploration.states()));
        assertEquals(Optional.empty(), exploration.violation());
        assertTrue(exploration.states() > 0);
        assertTrue(exploration.sawRunAfterRelease());
        assertTrue(exploration.sawOutcomeUnknown());
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
    void everyFaultyVariantIsDetected(ClaimModel.Variant variant) {
        assertTrue(new ClaimModel(variant).explore().violation().isPresent());
    }
}
