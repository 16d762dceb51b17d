package org.cowslippick.entry.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.request.Receipt;

/** The receipt in a response body; times are in milliseconds. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ReceiptBody(
        String request,
        String entry,
        String tier,
        String endpoint,
        double queueMilliseconds,
        Double timeToFirstTokenMilliseconds,
        Double betweenTokensMilliseconds,
        double promisedFirstTokenMilliseconds,
        double promisedBetweenTokensMilliseconds,
        boolean kept) {

    private static final double NANOS_PER_MILLISECOND = 1_000_000.0;

    static ReceiptBody of(Receipt receipt) {
        return new ReceiptBody(
                receipt.request().value(),
                receipt.entry().value(),
                receipt.tier().value(),
                receipt.endpoint().map(Object::toString).orElse(null),
                milliseconds(receipt.queueTime()),
                optionalMilliseconds(receipt.timeToFirstToken()),
                optionalMilliseconds(receipt.betweenTokens()),
                milliseconds(receipt.firstTokenTarget()),
                milliseconds(receipt.betweenTokensTarget()),
                receipt.kept());
    }

    private static Double optionalMilliseconds(Optional<Duration> duration) {
        return duration.map(ReceiptBody::milliseconds).orElse(null);
    }

    private static double milliseconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_MILLISECOND;
    }
}
