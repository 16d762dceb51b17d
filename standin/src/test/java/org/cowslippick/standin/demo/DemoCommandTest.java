package org.cowslippick.standin.demo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class DemoCommandTest {

    @Test
    void answersChatReportAndBooking() throws InterruptedException {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        boolean right = new DemoCommand(new PrintStream(printed, true, StandardCharsets.UTF_8)).run(true);
        assertTrue(right, printed.toString(StandardCharsets.UTF_8));
    }
}
