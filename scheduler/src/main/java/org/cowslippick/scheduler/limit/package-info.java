/** Rate and concurrency limits of organisations, services and tiers, divided among the entries by demand. */
package org.cowslippick.scheduler.limit;
