/** Queueing and endpoint selection for the requests of one pool; no I/O and no clock, time is an argument. */
package org.cowslippick.scheduler.pool;
