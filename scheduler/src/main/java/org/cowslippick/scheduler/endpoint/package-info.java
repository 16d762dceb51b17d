/** Latency model, admission window and health of each endpoint, estimated from its answers. */
package org.cowslippick.scheduler.endpoint;
