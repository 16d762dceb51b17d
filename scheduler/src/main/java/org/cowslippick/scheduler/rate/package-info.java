/** Rates that follow the recent past. */
package org.cowslippick.scheduler.rate;
