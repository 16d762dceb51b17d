/** The queue of one pool and the choice of an endpoint for each request; pure, with time as an argument. */
package org.cowslippick.scheduler.pool;
