package org.cowslippick.core.world;

/** Whether an endpoint rejects orders with a stale fencing number. */
public enum FencingSupport {
    CHECKED,
    IGNORED
}
