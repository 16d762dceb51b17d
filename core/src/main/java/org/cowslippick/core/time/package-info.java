/** The clock and timer abstraction that all modules use. */
package org.cowslippick.core.time;
