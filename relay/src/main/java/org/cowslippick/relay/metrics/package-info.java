/** Metrics of an instance in the Prometheus text format. */
package org.cowslippick.relay.metrics;
