/** Estimators of recent rates. */
package org.cowslippick.scheduler.rate;
