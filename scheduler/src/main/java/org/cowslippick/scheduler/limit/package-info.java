/** Limits of organisations, services and tiers, held over all entries by shares that follow demand. */
package org.cowslippick.scheduler.limit;
