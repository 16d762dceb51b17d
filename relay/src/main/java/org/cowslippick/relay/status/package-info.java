/** Small answers about this instance: which addresses to use, whether it is ready, and its metrics. */
package org.cowslippick.relay.status;
