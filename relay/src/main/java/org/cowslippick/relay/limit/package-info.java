/** Quotas of organisations and the retry budget, as shares of what all instances may use together. */
package org.cowslippick.relay.limit;
