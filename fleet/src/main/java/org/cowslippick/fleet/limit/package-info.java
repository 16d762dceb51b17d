/** Divides the limits of organisations among the entries. */
package org.cowslippick.fleet.limit;
