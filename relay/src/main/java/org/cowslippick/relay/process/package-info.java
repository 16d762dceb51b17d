/** Signals of the process, and its orderly end. */
package org.cowslippick.relay.process;
