/** Start and orderly end of the process. */
package org.cowslippick.relay.process;
