/** Budgets and delays for further attempts of a request. */
package org.cowslippick.scheduler.retry;
