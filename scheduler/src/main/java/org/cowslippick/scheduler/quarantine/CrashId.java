package org.cowslippick.scheduler.quarantine;

import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;

/**
 * Identifies a crash record across instances.
 *
 * @param number counts the records of this incarnation of the reporter
 */
public record CrashId(InstanceName reporter, Incarnation incarnation, long number) {}
