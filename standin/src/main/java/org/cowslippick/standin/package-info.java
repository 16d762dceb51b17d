/** Placeholder. */
package org.cowslippick.standin;
