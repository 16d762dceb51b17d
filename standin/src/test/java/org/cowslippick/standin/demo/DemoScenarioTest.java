package org.cowslippick.standin.demo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class DemoScenarioTest {

    @Test
    void chatReportAndBookingAreAnsweredCorrectly() throws InterruptedException {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        boolean isCorrect = new DemoScenario(new PrintStream(printed, true, StandardCharsets.UTF_8)).run(true);
        assertTrue(isCorrect, printed.toString(StandardCharsets.UTF_8));
    }
}
