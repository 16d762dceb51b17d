/** Typed events that a process records, and the bounded ring that holds them. */
package org.cowslippick.core.timeline;
