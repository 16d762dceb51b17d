package org.cowslippick.relay.forwarding;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/** What has happened to a request so far, over all of its attempts. */
final class RequestProgress {

    private final Set<String> triedEndpoints = new HashSet<>();
    private final Set<String> sentToVersions = new LinkedHashSet<>();
    private final EventScanner events = new EventScanner();
    private final RequestTimes times;
    private String cause = "";
    private long keptTokens;
    private boolean mayHaveRun;
    private boolean responseStarted;
    private Optional<String> streamVersion = Optional.empty();

    RequestProgress(long arrivedAtNanos) {
        this.times = new RequestTimes(arrivedAtNanos);
    }

    /** The ids of the endpoints that count as tried. */
    Set<String> triedEndpoints() {
        return triedEndpoints;
    }

    /** The software versions of the endpoints that the request was sent to. */
    Set<String> sentToVersions() {
        return sentToVersions;
    }

    EventScanner events() {
        return events;
    }

    RequestTimes times() {
        return times;
    }

    /** The latest reason for which an attempt or the request failed; empty if there is none. */
    String cause() {
        return cause;
    }

    void setCause(String newCause) {
        cause = newCause;
    }

    /** The prompt tokens that the last endpoint was expected to keep from earlier requests. */
    long keptTokens() {
        return keptTokens;
    }

    void setKeptTokens(long tokens) {
        keptTokens = tokens;
    }

    /** Whether an endpoint may have executed the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void setMayHaveRun(boolean possible) {
        mayHaveRun = possible;
    }

    /** Whether a part of a response has been passed on to the caller. */
    boolean isResponseStarted() {
        return responseStarted;
    }

    void setResponseStarted() {
        responseStarted = true;
    }

    /** The software version that has begun the stream; empty if any may begin it. */
    Optional<String> streamVersion() {
        return streamVersion;
    }

    void setStreamVersion(String version) {
        streamVersion = Optional.of(version);
    }

    /** The last event of the stream that the caller has received; empty if the stream has not started. */
    Optional<String> lastForwardedEvent() {
        return events.lastId().filter(_id -> responseStarted);
    }
}
