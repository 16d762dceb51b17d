package org.cowslippick.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.function.Predicate;
import org.cowslippick.entry.endpoint.Json;

/** Starts a demo site, sends a chat, a report and a booking to it, and prints the answers with their receipts. */
public final class DemoScenario {

    private final PrintStream out;

    /** Creates a demo that prints to the given stream. */
    public DemoScenario(PrintStream out) {
        this.out = out;
    }

    /** Runs the demo and returns whether all answers are as expected. Unless {@code once} is set, the site stays up. */
    public boolean run(boolean once) throws InterruptedException {
        try (DemoSite site = new DemoSite();
                DemoCaller caller = new DemoCaller(DemoSettings.CALLER_CREDENTIAL)) {
            HostAndPort address = site.entryAddresses().get(0);
            boolean isChatCorrect = requestChat(caller, address);
            boolean isReportCorrect = requestReport(caller, address);
            boolean isBookingCorrect = requestBooking(caller, address);
            boolean isCorrect = isChatCorrect && isReportCorrect && isBookingCorrect;
            out.println(isCorrect ? "All three answers were right." : "An answer was wrong.");
            if (!once) {
                printAddresses(site);
                new CountDownLatch(1).await();
            }
            return isCorrect;
        }
    }

    private boolean requestChat(DemoCaller caller, HostAndPort address) {
        return printResponse(
                "chat",
                caller.send(
                        address, "chat", "urgent", "{\"prompt\":\"The gate is stuck.\",\"maximumAnswerTokens\":12}"),
                answer -> wordCount(answer) == 12);
    }

    private boolean requestReport(DemoCaller caller, HostAndPort address) {
        return printResponse(
                "report",
                caller.send(
                        address,
                        "report",
                        "standard",
                        "{\"prompt\":\"Draft the repair report.\",\"maximumAnswerTokens\":40}"),
                answer -> wordCount(answer) == 40);
    }

    private boolean requestBooking(DemoCaller caller, HostAndPort address) {
        return printResponse(
                "booking",
                caller.send(address, "booking", "urgent", "{\"visit\":\"2030-01-07T09:00\"}"),
                answer -> answer.path("done").asBoolean());
    }

    private boolean printResponse(String service, DemoCaller.Response response, Predicate<JsonNode> expected) {
        JsonNode json = Json.read(response.body()).orElseThrow();
        boolean isCorrect = response.status() == 200 && expected.test(json.path("answer"));
        out.println(service + ": status " + response.status());
        out.println("  answer:  " + json.path("answer"));
        out.println("  receipt: " + json.path("receipt"));
        return isCorrect;
    }

    private void printAddresses(DemoSite site) {
        out.println("The entries stay up. As a caller, try:");
        site.entryAddresses()
                .forEach(address -> out.println("  curl -H 'Authorization: Bearer " + DemoSettings.CALLER_CREDENTIAL
                        + "' -d '{\"prompt\":\"Hello\",\"stream\":true}' http://" + address
                        + "/v1/services/chat/requests"));
        out.println("As an operator, try:");
        out.println("  export COWSLIPPICK_CREDENTIAL=" + DemoSettings.OPERATOR_CREDENTIAL);
        out.println("  bin/cowslippick status --entry " + site.entryAddresses().get(0));
        out.println("  bin/cowslippick tier list --platform " + site.platformAddress());
    }

    private static int wordCount(JsonNode answer) {
        return answer.asText().isBlank() ? 0 : answer.asText().trim().split(" ").length;
    }
}
