/** Requests, their IDs and idempotency keys, and the receipt that is returned with every response. */
package org.cowslippick.core.request;
