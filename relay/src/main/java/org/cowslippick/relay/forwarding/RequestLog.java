package org.cowslippick.relay.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.StreamResumption;
import org.jboss.logging.Logger;

/**
 * Access log with one line per finished request. Failures and refusals are always logged, successful requests
 * that do not resume a stream are sampled by a hash of their id, so that an id is logged either on every instance or on none.
 */
final class RequestLog {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.request");
    private static final String ANSWERED = "answered";
    private static final int SUCCESSES_PER_LINE = 8;

    private RequestLog() {}

    /** Logs a request that was refused on arrival. */
    static void refused(CallerRequest request, Failure failure, long configurationVersion) {
        LOGGER.info(LogLine.of("request")
                .with("id", request.attemptId())
                .with("result", failure.kind().text())
                .with("status", failure.kind().httpStatus())
                .with("configuration", configurationVersion)
                .with("path", request.path())
                .with("detail", failure.detail())
                .with("retryAfterMs", milliseconds(failure.retryAfter())));
    }

    /** Logs the end of a request that was admitted. */
    static void ended(
            CallerRequest request,
            Admission admission,
            String result,
            int status,
            RequestProgress progress,
            long nowNanos) {
        boolean isSampled = Math.floorMod(request.attemptId().hashCode(), SUCCESSES_PER_LINE) == 0;
        if (result.equals(ANSWERED) && request.resumption().isEmpty() && !isSampled) {
            return;
        }
        RequestTimes times = progress.times();
        LOGGER.info(LogLine.of("request")
                .with("id", request.attemptId())
                .with("result", result)
                .with("status", status)
                .with("route", admission.route().name())
                .with("configuration", admission.version())
                .with(
                        "organisation",
                        admission
                                .organisation()
                                .map(organisation -> organisation.name().value())
                                .orElse(""))
                .with("rank", admission.rank())
                .with("routeRank", admission.route().rank())
                .with("fingerprint", Long.toHexString(request.fingerprint()))
                .with("remainingMs", request.remainingMilliseconds().orElse(-1L))
                .with("targetMs", admission.route().target().toMillis())
                .with("promptTokens", request.promptTokens())
                .with("keptTokens", progress.keptTokens())
                .with("sharedParts", String.join(",", request.sharedParts()))
                .with("sentTo", String.join(",", progress.triedEndpoints()))
                .with("versions", String.join(",", progress.sentToVersions()))
                .with(
                        "resumes",
                        request.resumption().map(StreamResumption::firstAttempt).orElse(""))
                .with(
                        "lastEvent",
                        request.resumption().map(StreamResumption::lastEvent).orElse(""))
                .with("cause", progress.cause())
                .with("waitedMs", milliseconds(times.waited()))
                .with("firstMs", milliseconds(times.first()))
                .with("longestPauseMs", times.longestPause().toMillis())
                .with("totalMs", times.sinceArrival(nowNanos).toMillis()));
    }

    private static long milliseconds(Optional<Duration> duration) {
        return duration.map(Duration::toMillis).orElse(-1L);
    }
}
