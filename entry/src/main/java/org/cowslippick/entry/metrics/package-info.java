/** Prometheus metrics of an entry. */
package org.cowslippick.entry.metrics;
