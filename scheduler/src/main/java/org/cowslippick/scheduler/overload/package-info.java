/** Refusals that end the backlog of an instance with too little processor time for its load. */
package org.cowslippick.scheduler.overload;
