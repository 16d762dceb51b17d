/** Structured logs: one JSON line for each decision, bounded and never blocking. */
package org.cowslippick.relay.log;
