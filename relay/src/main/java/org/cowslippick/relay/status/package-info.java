/** HTTP server for the status of this instance: addresses for callers, readiness and metrics. */
package org.cowslippick.relay.status;
