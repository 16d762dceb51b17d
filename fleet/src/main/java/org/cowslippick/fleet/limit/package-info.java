/** How entries divide the limits of organisations among themselves. */
package org.cowslippick.fleet.limit;
