package org.cowslippick.core.world;

/** Whether an endpoint refuses an order that carries an old fencing number. */
public enum FencingSupport {
    CHECKED,
    IGNORED
}
