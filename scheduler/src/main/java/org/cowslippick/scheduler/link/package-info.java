/** Budgets for the links between regions. */
package org.cowslippick.scheduler.link;
