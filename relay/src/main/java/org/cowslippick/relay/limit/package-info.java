/** Quotas of organisations and the retry budget, as shares of limits that apply to all instances together. */
package org.cowslippick.relay.limit;
