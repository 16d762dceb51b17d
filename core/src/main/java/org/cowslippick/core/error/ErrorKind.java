package org.cowslippick.core.error;

import java.util.Locale;

/** All error kinds, each with the response that a caller gets. The table in docs/ERRORS.md must match. */
public enum ErrorKind {
    MALFORMED_REQUEST(
            400, Outcome.NOT_RUN, Advice.CORRECT, "The request could not be read: bad JSON, header or field."),
    UNAUTHENTICATED(401, Outcome.NOT_RUN, Advice.CORRECT, "The credential is missing or unknown."),
    NOT_ENTITLED(403, Outcome.NOT_RUN, Advice.CORRECT, "The organisation is not entitled to the service or tier."),
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN, Advice.CORRECT, "No service of this name exists."),
    UNKNOWN_TIER(404, Outcome.NOT_RUN, Advice.CORRECT, "No tier of this name exists."),
    UNKNOWN_REQUEST(404, Outcome.NOT_RUN, Advice.CORRECT, "No request of this identity is in flight at this entry."),
    UNKNOWN_PATH(404, Outcome.NOT_RUN, Advice.CORRECT, "No such path or method."),
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, Advice.CORRECT, "The body is over the size limit."),
    CALLER_TOO_SLOW(408, Outcome.NOT_RUN, Advice.RETRY, "The body did not arrive in time."),
    QUARANTINED(
            503, Outcome.NOT_RUN, Advice.RETRY_LATER, "Endpoints crashed while running a request with this content."),
    LIMIT_EXCEEDED(429, Outcome.NOT_RUN, Advice.RETRY_LATER, "A rate or concurrency limit is used up."),
    SHED(503, Outcome.NOT_RUN, Advice.RETRY_LATER, "The queue was full and this was the lowest tier in it."),
    DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN, Advice.RETRY_LATER, "The predicted answer time is after the deadline."),
    DEADLINE_PASSED_IN_QUEUE(504, Outcome.NOT_RUN, Advice.RETRY_LATER, "The deadline passed before dispatch."),
    NO_ENDPOINT(503, Outcome.NOT_RUN, Advice.RETRY_LATER, "No endpoint of the pool is usable."),
    STREAM_ORIGIN_UNKNOWN(
            503,
            Outcome.NOT_RUN,
            Advice.RETRY_LATER,
            "It is unknown which software version began the stream, and only that one can resume it."),
    LINK_BUDGET_SPENT(503, Outcome.NOT_RUN, Advice.RETRY_LATER, "The link to the other region has no budget left."),
    POOL_OWNER_UNREACHABLE(503, Outcome.NOT_RUN, Advice.RETRY, "The entry that owns the pool did not answer."),
    ENTRY_DRAINING(503, Outcome.NOT_RUN, Advice.RETRY_ELSEWHERE, "The entry is leaving and takes no new requests."),
    CLAIM_UNPROVABLE(
            503, Outcome.NOT_RUN, Advice.RETRY_LATER, "The identity could not be claimed, so nothing was sent."),
    ENDPOINT_REFUSED(503, Outcome.NOT_RUN, Advice.RETRY, "The endpoint refused the request before it started it."),
    CANCELLED_BEFORE_DISPATCH(499, Outcome.NOT_RUN, Advice.NONE, "The caller cancelled while the request was queued."),
    ALREADY_DISPATCHED(
            409, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "A request with this identity was dispatched before."),
    TICKET_OF_ANOTHER_ENTRY(
            421, Outcome.UNKNOWN, Advice.RETRY_ELSEWHERE, "Only the entry that issued the ticket knows the outcome."),
    CANCELLED_AFTER_DISPATCH(499, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The caller cancelled after dispatch."),
    ENDPOINT_FAILED(502, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The endpoint failed after the request was sent."),
    ENDPOINT_SILENT(
            504, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The endpoint made no progress after the request was sent."),
    ANSWER_MISMATCHED(502, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The endpoint's answer belonged to another request."),
    DEADLINE_PASSED_AFTER_DISPATCH(
            504, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The deadline passed while the request ran."),
    INTERNAL(500, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The entry failed."),
    SETTINGS_INVALID(422, Outcome.NOT_RUN, Advice.CORRECT, "The settings have faults; nothing was changed."),
    SETTINGS_CONFLICT(409, Outcome.NOT_RUN, Advice.CORRECT, "Somebody else changed the same settings first."),
    SETTINGS_OUTCOME_UNKNOWN(
            504, Outcome.UNKNOWN, Advice.CHECK_OUTCOME, "The commit was sent but its answer was lost."),
    PLATFORM_UNAVAILABLE(503, Outcome.NOT_RUN, Advice.RETRY_LATER, "The platform's object API did not answer.");

    private final int httpStatus;
    private final Outcome outcome;
    private final Advice advice;
    private final String meaning;

    ErrorKind(int httpStatus, Outcome outcome, Advice advice, String meaning) {
        this.httpStatus = httpStatus;
        this.outcome = outcome;
        this.advice = advice;
        this.meaning = meaning;
    }

    public int httpStatus() {
        return httpStatus;
    }

    public Outcome outcome() {
        return outcome;
    }

    public Advice advice() {
        return advice;
    }

    public String meaning() {
        return meaning;
    }

    /** Returns the name of this kind in responses, metrics and the timeline, such as {@code deadline-unreachable}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
