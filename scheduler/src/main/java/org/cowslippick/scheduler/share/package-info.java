/**
 * Sharing of scarce capacity between organisations, and reservation of the times at which refused callers return.
 * Decisions do no I/O and read no clock; time is an argument.
 */
package org.cowslippick.scheduler.share;
