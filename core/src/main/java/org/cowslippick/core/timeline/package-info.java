/** Typed events of a process and the ring buffer that retains them. */
package org.cowslippick.core.timeline;
