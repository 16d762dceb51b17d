package org.cowslippick.core.timeline;

import java.util.Locale;

/** The kinds of timeline events. */
public enum EventKind {
    REQUEST_ARRIVED,
    REQUEST_CLAIMED,
    REQUEST_QUEUED,
    REQUEST_GRANTED,
    REQUEST_DISPATCHED,
    REQUEST_FIRST_TOKEN,
    REQUEST_ANSWERED,
    REQUEST_FAILED,
    REQUEST_SHED,
    REQUEST_CANCELLED,
    ENDPOINT_SLOW,
    ENDPOINT_RECOVERED,
    ENDPOINT_EJECTED,
    ENDPOINT_LEFT,
    ENDPOINT_JOINED,
    ENDPOINT_ORDERED,
    ENTRY_JOINED,
    ENTRY_SUSPECTED,
    ENTRY_LEFT,
    ENTRY_DRAINING,
    POOL_OWNED,
    POOL_RELEASED,
    SETTINGS_COMMITTED,
    SETTINGS_APPLIED,
    PLATFORM_LOST,
    PLATFORM_REACHED;

    /** Returns the name printed in the timeline, such as {@code request-granted}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
