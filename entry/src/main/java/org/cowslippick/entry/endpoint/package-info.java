/** Clients for model engines and application engines. */
package org.cowslippick.entry.endpoint;
