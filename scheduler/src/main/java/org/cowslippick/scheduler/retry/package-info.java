/** Budgets and backoff for retries and hedges. */
package org.cowslippick.scheduler.retry;
