package org.cowslippick.entry.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Duration;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;

/** The response body of a failed request. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ErrorBody(String error, String outcome, String detail, Long retryAfterMilliseconds, ReceiptBody receipt) {

    static ErrorBody of(Failure failure) {
        return new ErrorBody(
                failure.kind().text(),
                failure.kind().outcome().text(),
                failure.detail(),
                failure.retryAfter().map(Duration::toMillis).orElse(null),
                null);
    }

    static ErrorBody of(Failure failure, Receipt receipt) {
        ErrorBody body = of(failure);
        return new ErrorBody(
                body.error, body.outcome, body.detail, body.retryAfterMilliseconds, ReceiptBody.of(receipt));
    }
}
