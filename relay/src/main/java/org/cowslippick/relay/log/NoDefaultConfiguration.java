package org.cowslippick.relay.log;

/**
 * Replaces the logging configuration of the Java runtime, whose console handler and formatter take a noticeable part of
 * the start of a process. Named by the system property {@code java.util.logging.config.class}; {@link JsonLogHandler}
 * adds the only handler.
 */
public final class NoDefaultConfiguration {}
