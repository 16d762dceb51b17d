/** Requests, their identity, and the receipt that comes with every answer. */
package org.cowslippick.core.request;
