package org.cowslippick.standin.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.entry.endpoint.Json;
import org.junit.jupiter.api.Test;

final class BenchReportTest {

    private static final double EPSILON = 1e-9;
    private static final TracedRequest REQUEST = new TracedRequest(0, 0, 0, BenchTier.URGENT, 10, 0, 3, Long.MAX_VALUE);

    @Test
    void jsonHasTheDocumentedFields() {
        JsonNode json = Json.read(Json.write(report(1000))).orElseThrow();
        assertEquals(7, json.path("seed").asInt());
        assertEquals(13.0, json.path("seconds").asDouble(), EPSILON);
        assertEquals(1000, json.path("requests").asInt());
        JsonNode row = json.path("rows").path(0);
        assertEquals("weighted_goodput", row.path("measure").asText());
        assertEquals("weighted answers", row.path("unit").asText());
        assertEquals(30.0, row.path("cowslippick").asDouble(), EPSILON);
        assertEquals(10.0, row.path("naive").asDouble(), EPSILON);
        assertEquals(3.0, row.path("ratio").asDouble(), EPSILON);
        assertEquals("ratio >= 1.5", row.path("target").asText());
        assertTrue(row.path("met").asBoolean());
    }

    @Test
    void aRatioThatIsNotFiniteIsNull() {
        assertTrue(Json.read(Json.write(BenchReport.Row.of("shed_inversions", "requests", 0, 0, Target.atMost(0))))
                .orElseThrow()
                .path("ratio")
                .isNull());
    }

    @Test
    void fewerThanAThousandRequestsAreNotEnough() {
        assertFalse(report(0).hasEnoughRequests());
        assertFalse(report(999).hasEnoughRequests());
        assertTrue(report(1000).hasEnoughRequests());
    }

    @Test
    void exitCodeOfARunWithTooFewRequestsIsNotZero() {
        assertEquals(0, BenchCommand.exitCode(report(1000)));
        assertTrue(BenchCommand.exitCode(report(999)) != 0);
    }

    @Test
    void onTimeRequiresFirstTokenAndTokenRateTargetsAndACompleteAnswer() {
        assertTrue(outcome(500, 580, 3, true).isOnTime());
        assertFalse(outcome(531, 580, 3, true).isOnTime());
        assertFalse(outcome(500, 618, 3, true).isOnTime());
        assertFalse(outcome(500, 580, 2, false).isOnTime());
    }

    @Test
    void aSlopeFitsAStraightLine() {
        Slope slope =
                Slope.fit("heap", "bytes", "peer", ImmutableList.of(10, 20, 30), ImmutableList.of(105.0, 205.0, 305.0));
        assertEquals(10, slope.perItem(), EPSILON);
        assertEquals(5, slope.fixed(), EPSILON);
        assertEquals(0, slope.residualShare(), EPSILON);
    }

    @Test
    void aRatioTargetIsMissedIfNothingIsOnTime() {
        assertFalse(Target.ratioAtLeast(1.5).isMet(0, 0));
    }

    private static BenchReport report(int requests) {
        return new BenchReport(
                "tiers",
                7,
                13,
                requests,
                ImmutableList.of(
                        BenchReport.Row.of("weighted_goodput", "weighted answers", 30, 10, Target.ratioAtLeast(1.5))),
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of());
    }

    private static CallOutcome outcome(long firstMilliseconds, long lastMilliseconds, int tokens, boolean isComplete) {
        return new CallOutcome(
                REQUEST,
                0,
                firstMilliseconds * 1_000_000,
                lastMilliseconds * 1_000_000,
                tokens,
                isComplete,
                0,
                0,
                Optional.empty());
    }
}
