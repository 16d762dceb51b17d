/** Metrics of an entry, by the Prometheus client. */
package org.cowslippick.entry.metrics;
