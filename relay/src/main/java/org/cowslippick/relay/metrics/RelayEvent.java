package org.cowslippick.relay.metrics;

/** Events that are counted. */
public enum RelayEvent {
    RETRY("retries", "Dispatches of a request to a further endpoint."),
    RETRY_DENIED("retries_denied", "Retries that the retry budget did not allow."),
    CONNECT_FAILED("endpoint_connects_failed", "Connections to endpoints that could not be opened."),
    CONNECTION_LOST("endpoint_connections_lost", "Connections to endpoints that broke during a response."),
    CONNECTION_OPENED("endpoint_connections_opened", "Connections to endpoints that were opened."),
    CONNECTION_REUSED("endpoint_connections_reused", "Requests that were sent on a kept connection."),
    KEPT_CONNECTION_DEAD(
            "endpoint_kept_connections_dead",
            "Kept connections that ended before the held-back end of a request was sent."),
    KEPT_CONNECTION_LOST(
            "endpoint_kept_connections_lost",
            "Kept connections that ended after a request, without any byte of a response."),
    PROMPT_TOKENS("prompt_tokens", "Prompt tokens of dispatches."),
    PROMPT_TOKENS_KEPT(
            "prompt_tokens_expected_kept", "Prompt tokens of dispatches that the endpoint was expected to keep."),
    ENDPOINT_REFUSED("endpoint_refusals", "Requests that an endpoint refused without running them."),
    ENDPOINT_LEAVING("endpoint_leaving_notices", "Responses whose endpoint said that it leaves."),
    ENDPOINT_PAUSE("endpoint_pause_notices", "Refusals whose endpoint asked for a pause."),
    STREAM_ORIGIN_FOUND("stream_origins_found", "Resumed streams whose software version was found."),
    STREAM_ORIGIN_UNKNOWN(
            "stream_origins_unknown", "Resumed streams that were refused, as nobody knows their software version."),
    CONFIGURATION_UNREADABLE(
            "configurations_unreadable", "Configurations that were received and could not be applied."),
    CLIENT_EVICTED_FOR_MEMORY(
            "clients_evicted_for_memory", "Connections closed as the memory for clients was used up."),
    CLIENT_EVICTED_FOR_CONNECTIONS(
            "clients_evicted_for_connections", "Connections closed as there were too many at an address."),
    STORE_ANSWERED("store_calls_answered", "Calls to the store that succeeded."),
    STORE_FAILED("store_calls_failed", "Calls to the store that failed or had no answer in time.");

    private final String metric;
    private final String help;

    RelayEvent(String metric, String help) {
        this.metric = "cowslippick_" + metric;
        this.help = help;
    }

    /** The name of its counter, without the suffix that the text format adds. */
    public String metric() {
        return metric;
    }

    public String help() {
        return help;
    }
}
