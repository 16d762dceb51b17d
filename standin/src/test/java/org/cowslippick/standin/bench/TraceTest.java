package org.cowslippick.standin.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class TraceTest {

    private static final TraceShape SHAPE = TraceShape.patient(400, Duration.ofSeconds(14), LoadCurve.SWING);

    @Test
    void followsFromTheSeedAlone() {
        assertEquals(Trace.draw(SHAPE, 7), Trace.draw(SHAPE, 7));
        assertNotEquals(Trace.draw(SHAPE, 7), Trace.draw(SHAPE, 8));
    }

    @Test
    void hasLengthsSpreadAHundredfold() {
        Trace trace = Trace.draw(SHAPE, 1);
        assertTrue(trace.requests().stream().allMatch(TraceTest::lengthsInRange));
        assertTrue(trace.requests().stream().anyMatch(request -> request.promptTokens() < 30));
        assertTrue(trace.requests().stream().anyMatch(request -> request.promptTokens() > 1500));
        assertTrue(trace.requests().stream().anyMatch(request -> request.answerTokens() == 1));
        assertTrue(trace.requests().stream().anyMatch(request -> request.answerTokens() > 90));
    }

    @Test
    void swingsToFourTimesWithinTwoSeconds() {
        Trace trace = Trace.draw(SHAPE, 1);
        double before = rate(trace, 0, LoadCurve.SWING_START_SECOND);
        double crest = rate(trace, LoadCurve.SWING_START_SECOND + LoadCurve.SWING_RAMP_SECONDS, 10);
        assertEquals(LoadCurve.SWING_FACTOR, crest / before, 0.4);
    }

    @Test
    void textsOfOneOrganisationShareTheirStart() {
        TracedRequest first = new TracedRequest(1, 0, 2, BenchTier.URGENT, 100, 50, 1, Long.MAX_VALUE);
        TracedRequest second = new TracedRequest(2, 0, 2, BenchTier.URGENT, 100, 50, 1, Long.MAX_VALUE);
        assertEquals(Prompts.text(first).substring(0, 200), Prompts.text(second).substring(0, 200));
        assertNotEquals(Prompts.text(first), Prompts.text(second));
    }

    private static boolean lengthsInRange(TracedRequest request) {
        return request.promptTokens() >= Trace.SHORTEST_PROMPT_TOKENS
                && request.promptTokens() <= Trace.LONGEST_PROMPT_TOKENS
                && request.answerTokens() >= Trace.SHORTEST_ANSWER_TOKENS
                && request.answerTokens() <= Trace.LONGEST_ANSWER_TOKENS;
    }

    private static double rate(Trace trace, double fromSecond, double toSecond) {
        return trace.requests().stream()
                        .filter(request -> request.sendAtNanos() >= fromSecond * 1e9)
                        .filter(request -> request.sendAtNanos() < toSecond * 1e9)
                        .count()
                / (toSecond - fromSecond);
    }
}
