/**
 * Scheduling of the endpoint slots of one service: which waiting request is dispatched next, to which endpoint, and
 * which request is refused with a retry-after delay. Decisions do no I/O and read no clock; time is an argument.
 */
package org.cowslippick.scheduler.slot;
