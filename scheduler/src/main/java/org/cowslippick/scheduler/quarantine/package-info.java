/** Detects requests that crash the endpoints that run them and quarantines their content. */
package org.cowslippick.scheduler.quarantine;
