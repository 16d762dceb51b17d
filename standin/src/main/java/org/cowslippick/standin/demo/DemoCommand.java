package org.cowslippick.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.function.Predicate;
import org.cowslippick.entry.endpoint.Json;

/** Runs the demo's site, sends it a chat, a report and a booking, and prints their answers with receipts. */
public final class DemoCommand {

    private final PrintStream out;

    /** Creates a demo that prints to the stream. */
    public DemoCommand(PrintStream out) {
        this.out = out;
    }

    /** Runs the demo; returns whether every answer was right. With {@code once} it ends then, else it stays up. */
    public boolean run(boolean once) throws InterruptedException {
        try (DemoSite site = new DemoSite();
                DemoCaller caller = new DemoCaller(DemoSettings.CALLER_CREDENTIAL)) {
            HostAndPort address = site.addresses().get(0);
            boolean chatRight = chat(caller, address);
            boolean reportRight = report(caller, address);
            boolean bookingRight = booking(caller, address);
            boolean right = chatRight && reportRight && bookingRight;
            out.println(right ? "All three answers were right." : "An answer was wrong.");
            if (!once) {
                printAddresses(site);
                new CountDownLatch(1).await();
            }
            return right;
        }
    }

    private boolean chat(DemoCaller caller, HostAndPort address) {
        return show(
                "chat",
                caller.send(
                        address, "chat", "urgent", "{\"prompt\":\"The gate is stuck.\",\"maximumAnswerTokens\":12}"),
                answer -> words(answer) == 12);
    }

    private boolean report(DemoCaller caller, HostAndPort address) {
        return show(
                "report",
                caller.send(
                        address,
                        "report",
                        "standard",
                        "{\"prompt\":\"Draft the repair report.\",\"maximumAnswerTokens\":40}"),
                answer -> words(answer) == 40);
    }

    private boolean booking(DemoCaller caller, HostAndPort address) {
        return show(
                "booking",
                caller.send(address, "booking", "urgent", "{\"visit\":\"2030-01-07T09:00\"}"),
                answer -> answer.path("done").asBoolean());
    }

    private boolean show(String what, DemoCaller.Answer answer, Predicate<JsonNode> expected) {
        JsonNode json = Json.read(answer.body()).orElseThrow();
        boolean right = answer.status() == 200 && expected.test(json.path("answer"));
        out.println(what + ": status " + answer.status());
        out.println("  answer:  " + json.path("answer"));
        out.println("  receipt: " + json.path("receipt"));
        return right;
    }

    private void printAddresses(DemoSite site) {
        out.println("The entries stay up. As a caller, try:");
        site.addresses()
                .forEach(address -> out.println("  curl -H 'Authorization: Bearer " + DemoSettings.CALLER_CREDENTIAL
                        + "' -d '{\"prompt\":\"Hello\",\"stream\":true}' http://" + address
                        + "/v1/services/chat/requests"));
        out.println("As an operator, try:");
        out.println("  export COWSLIPPICK_CREDENTIAL=" + DemoSettings.OPERATOR_CREDENTIAL);
        out.println("  bin/cowslippick status --entry " + site.addresses().get(0));
        out.println("  bin/cowslippick tier list --platform " + site.platformAddress());
    }

    private static int words(JsonNode answer) {
        return answer.asText().isBlank() ? 0 : answer.asText().trim().split(" ").length;
    }
}
