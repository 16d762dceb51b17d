/** The waiting requests of one pool, ordered by tier, organisation and deadline. */
package org.cowslippick.scheduler.queue;
