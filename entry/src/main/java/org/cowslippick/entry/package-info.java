/** Placeholder. */
package org.cowslippick.entry;
