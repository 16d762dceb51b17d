package org.cowslippick.standin.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class TraceTest {

    private static final TraceParameters PARAMETERS =
            TraceParameters.withoutTimeouts(400, Duration.ofSeconds(14), LoadCurve.SURGE);

    @Test
    void isDeterminedByTheSeed() {
        assertEquals(Trace.generate(PARAMETERS, 7), Trace.generate(PARAMETERS, 7));
        assertNotEquals(Trace.generate(PARAMETERS, 7), Trace.generate(PARAMETERS, 8));
    }

    @Test
    void hasLengthsSpreadOverAHundredfoldRange() {
        Trace trace = Trace.generate(PARAMETERS, 1);
        assertTrue(trace.requests().stream().allMatch(TraceTest::areLengthsInRange));
        assertTrue(trace.requests().stream().anyMatch(request -> request.promptTokens() < 30));
        assertTrue(trace.requests().stream().anyMatch(request -> request.promptTokens() > 1500));
        assertTrue(trace.requests().stream().anyMatch(request -> request.answerTokens() == 1));
        assertTrue(trace.requests().stream().anyMatch(request -> request.answerTokens() > 90));
    }

    @Test
    void risesToFourTimesTheRateWithinTwoSeconds() {
        Trace trace = Trace.generate(PARAMETERS, 1);
        double initial = requestsPerSecond(trace, 0, LoadCurve.SURGE_START_SECOND);
        double surge = requestsPerSecond(trace, LoadCurve.SURGE_START_SECOND + LoadCurve.SURGE_RAMP_SECONDS, 10);
        assertEquals(LoadCurve.SURGE_FACTOR, surge / initial, 0.4);
    }

    @Test
    void promptsOfOneOrganisationShareAPrefix() {
        TracedRequest first = new TracedRequest(1, 0, 2, BenchTier.URGENT, 100, 50, 1, Long.MAX_VALUE);
        TracedRequest second = new TracedRequest(2, 0, 2, BenchTier.URGENT, 100, 50, 1, Long.MAX_VALUE);
        assertEquals(Prompts.text(first).substring(0, 200), Prompts.text(second).substring(0, 200));
        assertNotEquals(Prompts.text(first), Prompts.text(second));
    }

    private static boolean areLengthsInRange(TracedRequest request) {
        return request.promptTokens() >= Trace.MINIMUM_PROMPT_TOKENS
                && request.promptTokens() <= Trace.MAXIMUM_PROMPT_TOKENS
                && request.answerTokens() >= Trace.MINIMUM_ANSWER_TOKENS
                && request.answerTokens() <= Trace.MAXIMUM_ANSWER_TOKENS;
    }

    private static double requestsPerSecond(Trace trace, double fromSecond, double toSecond) {
        return trace.requests().stream()
                        .filter(request -> request.sendAtNanos() >= fromSecond * 1e9)
                        .filter(request -> request.sendAtNanos() < toSecond * 1e9)
                        .count()
                / (toSecond - fromSecond);
    }
}
