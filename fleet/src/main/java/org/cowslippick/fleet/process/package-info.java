/** Signals of the process. */
package org.cowslippick.fleet.process;
